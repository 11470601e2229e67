// Command dw-trial runs trials and benchmarks of damsonwinch with stand-ins for the platform and the
// endpoints on one machine.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Trial(), os.Args[1:], os.Stderr))
}

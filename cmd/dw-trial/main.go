// Command dw-trial runs damsonwinch with stand-ins on one machine.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Trial(), os.Args[1:], os.Stderr))
}

// Command dw-node takes clients' jobs, runs them on the pools' boxes and plans
// moves and maintenance.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Node(), os.Args[1:], os.Stderr))
}

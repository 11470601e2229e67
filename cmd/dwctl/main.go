// Command dwctl is the operators' command line: it edits the shared table and shows the state of the fleet.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Control(), os.Args[1:], os.Stderr))
}

// Command dwctl is the operators' command line.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Control(), os.Args[1:], os.Stderr))
}

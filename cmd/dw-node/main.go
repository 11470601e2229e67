// Command dw-node accepts clients' jobs, runs them on the pools' boxes, and plans moves and maintenance of
// boxes.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Node(), os.Args[1:], os.Stderr))
}

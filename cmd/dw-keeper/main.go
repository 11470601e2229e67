// Command dw-keeper follows the platform's log and decides on moves of boxes and maintenance waves.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Keeper(), os.Args[1:], os.Stderr))
}

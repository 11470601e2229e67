// Command dw-entry accepts clients' HTTP requests and sends them to endpoints.
package main

import (
	"os"

	"damsonwinch/pkg/command"
)

func main() {
	os.Exit(command.Execute(command.Entry(), os.Args[1:], os.Stderr))
}

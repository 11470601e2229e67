// Command scene plays the scripted cases of the review. It starts dw-node processes against the project's stand-in of the
// platform, plays a course of events and checks one rule.
//
// Usage: scene CASE FOLDER. It writes record.txt into the folder, and exits with 0 if the rule held, with 1 if it was
// broken and with 2 if the case could not be run. With TROUBLE=0 in the environment it leaves the disruption out.
//
// All addresses are loopback addresses. Each case takes less than a minute, and all processes are ended.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case. It returns what broke the rule, or an empty string if the rule held.
var cases = map[string]func(record string, trouble bool) (string, error){
	"checkpoints": longCheckpoints,
	"renamed":     renamed,
	"sent-again":  sentAgain,
	"stale-start": staleStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE FOLDER")
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](recordPath(os.Args[2]), os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case broken != "":
		fmt.Println("BROKEN:", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

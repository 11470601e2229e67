package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/settings"
)

// Bounds that the users state for the platform.
const (
	maxLease    = 10 * time.Second
	stopTime    = 400 * time.Millisecond
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second // A node without a fault for that long is in touch.
	visibleTime = 3 * time.Second // An accepted job is known to all nodes in touch after that long.
	graceTime   = 6 * time.Second
	moveTime    = 1500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	saveTime    = 2 * time.Second
)

// node is a dw-node process, which is started again after its end.
type node struct {
	program string
	clock   damsonwinch.Clock
	config  settings.Node
	folder  string // Of the settings file and the log.
	group   errgroup.Group
	// mutex is held by the fault that the node is subject to.
	mutex   sync.Mutex
	process *os.Process
	// exited is closed when the process has ended and endState says how.
	exited   chan struct{}
	endState string
}

// buildProgram builds dw-node and returns the path of the program.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "dw-node")
	output, err := exec.Command("go", "build", "-o", path, "damsonwinch/cmd/dw-node").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// nodeSettings returns the settings of a node, without the addresses of the platform.
func nodeSettings(t *testing.T, name string) settings.Node {
	return settings.Node{
		Node: name, Zone: "zone", ClientAddress: freeAddress(t), ReadyAddress: freeAddress(t), CallAddress: freeAddress(t), DebugAddress: freeAddress(t),
		CoreShare: 0.4, LinkMbps: 1000, MemoryMb: 284, PowerOffsPerS: 64, GroupTtlMs: 1000, LogLines: 2000,
		Bounds: settings.Bounds{
			LeaseMostMs: int(maxLease.Milliseconds()), StopMs: int(stopTime.Milliseconds()), CancelMs: int(cancelTime.Milliseconds()), DrainMs: 2000,
			KeepEndedS: 120, GraceS: graceTime.Seconds(), MoveS: moveTime.Seconds(), RestoreMs: int(restoreTime.Milliseconds()), SaveS: saveTime.Seconds(),
		},
	}
}

// The nodes' ports are below the range from which systems assign ports. Otherwise an outgoing
// connection could take the port of a node while the node is being restarted.
const (
	firstPort = 12000
	portCount = 20000
)

// triedPorts counts the ports that have been tried. Each process begins with another port.
var triedPorts = os.Getpid() * 997

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(t *testing.T) string {
	for range portCount {
		triedPorts++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+triedPorts%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			assert.NilError(t, listener.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts the process. firstStart means that the whole system is started for the first time.
func (n *node) start(firstStart bool) error {
	n.config.FirstStart = firstStart
	text, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	file := filepath.Join(n.folder, n.config.Node+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	// The first process replaces the log of an earlier test, and the others add to it.
	mode := os.O_APPEND
	if firstStart {
		mode = os.O_TRUNC
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.config.Node+".log"), os.O_CREATE|os.O_WRONLY|mode, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(n.program, "--settings", file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	n.process, n.exited = command.Process, exited
	n.group.Go(func() error {
		// The state says how the process has ended, whatever error Wait returns.
		_ = command.Wait()
		n.endState = command.ProcessState.String()
		close(exited)
		return log.Close()
	})
	return nil
}

// checkRunning returns an error if the process has ended by itself.
func (n *node) checkRunning() error {
	select {
	case <-n.exited:
		return fmt.Errorf("%s has ended by itself: %s", n.config.Node, n.endState)
	default:
		return nil
	}
}

// kill ends the process at once, also if it is frozen, and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	// The signals fail if the process has ended already.
	_ = n.process.Signal(syscall.SIGCONT)
	_ = n.process.Kill()
	<-n.exited
}

// terminate asks the process to stop and kills it after graceTime.
func (n *node) terminate() error {
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.exited:
	case <-n.clock.After(graceTime):
		n.kill()
	}
	return nil
}

// freeze stops the process for a duration, during which its connections stay open.
func (n *node) freeze(duration time.Duration) error {
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	n.clock.Sleep(duration)
	return n.process.Signal(syscall.SIGCONT)
}

// isReady reports whether the node calls itself ready.
func (n *node) isReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + n.config.ReadyAddress + "/readyz")
	if err != nil {
		return false
	}
	// The body is of no interest.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

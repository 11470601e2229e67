package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/settings"
)

// program is the command of the deploy file.
const program = "target/dw-node"

// Bounds of the site wmpz-quote, which all scenes use.
const (
	maxLease  = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	graceTime = 6 * time.Second
	moveTime  = 1500 * time.Millisecond
	keepTime  = 120 * time.Second
)

// node is a dw-node process.
type node struct {
	clock  clockwork.Clock
	config settings.Node
	folder string
	group  errgroup.Group
	// process is the running process; exited is closed when it has ended.
	process *os.Process
	exited  chan struct{}
	// ending says how the last process has ended, once exited is closed.
	ending string
}

// Ports of nodes are below the range from which systems assign ports.
const (
	firstPort = 12000
	portCount = 20000
)

// triedPorts counts the ports that have been tried. Each process begins with another one.
var triedPorts = os.Getpid() * 991

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	for range portCount {
		triedPorts++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+triedPorts%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newNode returns a node that has not been started. The addresses of the platform are still missing.
func newNode(clock clockwork.Clock, folder, name string) (*node, error) {
	n := &node{clock: clock, folder: folder}
	n.config = settings.Node{
		Node: name, Zone: "zone", CoreShare: 0.4, LinkMbps: 1000, MemoryMb: 284, PowerOffsPerS: 64, GroupTtlMs: 1000, Partitions: 24,
		Bounds: settings.Bounds{
			LeaseMostMs: int(maxLease.Milliseconds()), StopMs: int(stopTime.Milliseconds()), CancelMs: 3000, DrainMs: 2000, GangMs: 3000, HolderMs: 3000,
			KeepEndedS: int(keepTime.Seconds()), GraceS: graceTime.Seconds(), MoveS: moveTime.Seconds(), MaintainS: 2, RestoreMs: 600, SaveS: 2, HarmMs: 4000, NoticeMs: 4500, Far: 2,
		},
	}
	for _, address := range []*string{&n.config.ClientAddress, &n.config.ReadyAddress, &n.config.CallAddress, &n.config.DebugAddress} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return n, nil
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
	log, err := os.OpenFile(filepath.Join(n.folder, n.config.Node+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "DAMSONWINCH_NODE_FILE=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	n.process, n.exited = command.Process, exited
	n.group.Go(func() error {
		// The state says how the process has ended, whatever error Wait returns.
		_ = command.Wait()
		n.ending = command.ProcessState.String()
		close(exited)
		return log.Close()
	})
	return nil
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	// The signals fail if the process has ended already.
	_ = n.process.Signal(syscall.SIGCONT)
	_ = n.process.Kill()
	<-n.exited
}

// terminate asks the process to stop, as the platform does, and kills it after graceTime.
func (n *node) terminate() {
	// The signal fails if the process has ended already.
	_ = n.process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-n.clock.After(graceTime):
		n.kill()
	}
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

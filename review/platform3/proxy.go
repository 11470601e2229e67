package main

import (
	"errors"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// proxy passes the connections of one node on to a service of the platform.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group
	mutex    sync.Mutex
	open     map[*link]bool
}

// link is an open connection with its way on.
type link struct {
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: map[*link]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) accept() error {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		p.mutex.Lock()
		p.open[l] = true
		p.mutex.Unlock()
		p.group.Go(func() error {
			err := l.pass(near, far)
			p.mutex.Lock()
			defer p.mutex.Unlock()
			delete(p.open, l)
			return err
		})
		p.group.Go(func() error { return l.pass(far, near) })
	}
}

// pass passes bytes on in one direction until the connection ends. A silent connection takes bytes and passes none on.
func (l *link) pass(from, to net.Conn) error {
	buffer := make([]byte, 64<<10)
	for {
		read, err := from.Read(buffer)
		l.mutex.Lock()
		silent := l.silent
		l.mutex.Unlock()
		if silent && err != nil && from == l.far {
			return nil // The end of the far side isn't passed on either.
		}
		if err != nil {
			return errors.Join(l.near.Close(), l.far.Close())
		}
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:read]); err != nil {
			return errors.Join(l.near.Close(), l.far.Close())
		}
	}
}

// silence makes all open connections go silent for good, without a reset. New ones work. It returns how many there were.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for l := range p.open {
		l.mutex.Lock()
		l.silent = true
		l.mutex.Unlock()
		count++
	}
	clear(p.open)
	return count
}

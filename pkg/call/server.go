package call

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Names of the call by which a client checks that a process is alive.
const (
	pingService = "Presence"
	pingMethod  = pingService + ".Ping"
)

// presence is the net/rpc service that answers pings.
type presence struct{}

// Ping does nothing. Its reply shows that the process is alive.
func (*presence) Ping(int, *int) error {
	return nil
}

// Server serves net/rpc calls on one listener until it is closed.
type Server struct {
	listener net.Listener
	server   *rpc.Server
	group    errgroup.Group
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// Serve starts a server on a listener. It serves the net/rpc methods of receiver under a service name, and
// pings.
func Serve(listener net.Listener, name string, receiver any) (*Server, error) {
	server := &Server{listener: listener, server: rpc.NewServer(), conns: map[net.Conn]bool{}}
	for named, service := range map[string]any{name: receiver, pingService: &presence{}} {
		if err := server.server.RegisterName(named, service); err != nil {
			return nil, fmt.Errorf("register %s: %w", named, err)
		}
	}
	server.group.Go(server.accept)
	return server, nil
}

// Register makes the server also serve the net/rpc methods of receiver, under another service name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.server.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// accept serves each connection in its own goroutine until the listener is closed.
func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		if !s.addConn(conn) {
			closeIgnoringError(conn)
			return nil
		}
		s.group.Go(func() error {
			s.server.ServeConn(conn)
			s.removeConn(conn)
			return nil
		})
	}
}

// addConn adds an open connection. It returns false if the server is closed.
func (s *Server) addConn(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// removeConn removes a connection that is no longer served.
func (s *Server) removeConn(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// Close stops serving and returns once every connection's goroutine has ended.
func (s *Server) Close() {
	closeListener(s.listener)
	s.mutex.Lock()
	s.closed = true
	for conn := range s.conns {
		closeIgnoringError(conn)
	}
	s.mutex.Unlock()
	_ = s.group.Wait()
}

// closeListener closes a listener that isn't needed any more. An error would change nothing.
func closeListener(listener net.Listener) {
	_ = listener.Close()
}

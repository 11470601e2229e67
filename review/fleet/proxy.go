package fleet

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"
)

// Proxy serves a proxy of the store at a loopback address and has the nodes started from now on use it. refuse is
// called with each request and may answer it.
func (f *Fleet) Proxy(refuse func(rw http.ResponseWriter, r *http.Request) bool) error {
	return f.ProxyWith(refuse, func(*http.Response) error { return nil })
}

// ProxyWith is Proxy, and calls answered with each answer of the store before it is passed on.
func (f *Fleet) ProxyWith(refuse func(rw http.ResponseWriter, r *http.Request) bool, answered func(*http.Response) error) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.storeAt})
	forward.ErrorLog, forward.ModifyResponse = log.New(io.Discard, "", 0), answered
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !refuse(rw, r) {
			forward.ServeHTTP(rw, r)
		}
	})}
	f.storeAt = listener.Addr().String()
	f.group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	f.group.Go(func() error {
		<-f.ctx.Done()
		return server.Close()
	})
	return nil
}

package loadtest

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/trial"
)

// plain is the gateway that damsonwinch is compared with: it sends to the boxes
// in turn, each with a queue of its own in order of arrival.
type plain struct {
	address string
	boxes   []*plainBox
	next    atomic.Int64
	client  *http.Client
	server  *http.Server
	group   errgroup.Group
}

type plainBox struct {
	address string
	slots   chan struct{}
	waiting atomic.Int64
}

const plainTimeout = 5 * time.Second

func startPlain(cluster *trial.Cluster) (*plain, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plain{address: listener.Addr().String(), client: newClient(slots)}
	for _, endpoint := range cluster.Endpoints {
		box := &plainBox{address: endpoint.Address(), slots: make(chan struct{}, cluster.User.Fleet.BoxSlots)}
		p.boxes = append(p.boxes, box)
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}", p.run).Methods(http.MethodPost)
	p.server = &http.Server{Handler: router, ReadHeaderTimeout: plainTimeout}
	p.group.Go(func() error { return p.server.Serve(listener) })
	return p, nil
}

func (p *plain) close() {
	_ = p.server.Close()
	_ = p.group.Wait()
	p.client.CloseIdleConnections()
}

func (p *plain) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	box := p.boxes[int(p.next.Add(1))%len(p.boxes)]
	defer box.waiting.Add(-1)
	if box.waiting.Add(1) > int64(queueLimit/len(p.boxes)+cap(box.slots)) {
		http.Error(w, "full", http.StatusTooManyRequests)
		return
	}
	select {
	case box.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-box.slots }()
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+box.address+"/run/"+service, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	// A caller that has gone needs no answer.
	_, _ = io.Copy(w, response.Body)
}

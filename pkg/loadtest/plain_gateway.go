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

// plainGateway is the gateway that damsonwinch is compared with. It sends requests to
// the boxes in turn. Each box has a first-in, first-out queue of its own.
type plainGateway struct {
	address string
	boxes   []*plainBox
	next    atomic.Int64
	client  *http.Client
	server  *http.Server
	group   errgroup.Group
}

// plainBox is an endpoint and its queue in the plain gateway.
type plainBox struct {
	address string
	// slots holds an element for each request that runs on the box.
	slots chan struct{}
	// waiting counts the requests that run on the box or wait for it.
	waiting atomic.Int64
}

// readHeaderTimeout is how long the gateway waits for the headers of a request.
const readHeaderTimeout = 5 * time.Second

// startPlainGateway starts a plain gateway to the endpoints of a cluster.
func startPlainGateway(cluster *trial.Cluster) (*plainGateway, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &plainGateway{address: listener.Addr().String(), client: newClient(slots)}
	for _, endpoint := range cluster.Endpoints {
		box := &plainBox{address: endpoint.Address(), slots: make(chan struct{}, cluster.User.Fleet.BoxSlots)}
		g.boxes = append(g.boxes, box)
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}", g.forward).Methods(http.MethodPost)
	g.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	g.group.Go(func() error { return g.server.Serve(listener) })
	return g, nil
}

func (g *plainGateway) close() {
	_ = g.server.Close()
	_ = g.group.Wait()
	g.client.CloseIdleConnections()
}

// forward sends a request to the next box and returns the box's response to the client.
// If too many requests wait for that box, it refuses the request with status 429.
func (g *plainGateway) forward(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	box := g.boxes[int(g.next.Add(1))%len(g.boxes)]
	defer box.waiting.Add(-1)
	if box.waiting.Add(1) > int64(queueLimit/len(g.boxes)+cap(box.slots)) {
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
	response, err := g.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	// The copy fails if the client has gone away, which does no harm.
	_, _ = io.Copy(w, response.Body)
}

package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

const readHeaderTimeout = 5 * time.Second

// Platform is the stand-in platform: a log, a lagging list and box control
// behind its published HTTP protocol.
type Platform struct {
	Log    *Log
	clock  damsonwinch.Clock
	mutex  sync.Mutex
	boxes  map[string]wire.ListedBox
	reboot func(ctx context.Context, box string) error
	server *http.Server
	group  errgroup.Group
}

// NewPlatform returns a platform over a log. Reboot is what maintenance does to
// a box.
func NewPlatform(clock damsonwinch.Clock, log *Log, reboot func(ctx context.Context, box string) error) *Platform {
	return &Platform{Log: log, clock: clock, boxes: map[string]wire.ListedBox{}, reboot: reboot}
}

// PutBox shows a box in the list.
func (p *Platform) PutBox(box wire.ListedBox) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.boxes[box.Info.Name] = box
}

// SetLeaving marks a box of the list as leaving or not.
func (p *Platform) SetLeaving(name string, leaving bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if box, known := p.boxes[name]; known {
		box.Leaving = leaving
		p.boxes[name] = box
	}
}

// RemoveBox takes a box off the list.
func (p *Platform) RemoveBox(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.boxes, name)
}

// Boxes returns the list of a hall, or of all for "", in order of the names.
func (p *Platform) Boxes(_ context.Context, hall string) ([]wire.ListedBox, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	boxes := make([]wire.ListedBox, 0, len(p.boxes))
	for _, box := range p.boxes {
		if hall == "" || box.Info.Hall == hall {
			boxes = append(boxes, box)
		}
	}
	slices.SortFunc(boxes, func(a, b wire.ListedBox) int { return strings.Compare(a.Info.Name, b.Info.Name) })
	return boxes, nil
}

// Maintain reboots a box.
func (p *Platform) Maintain(ctx context.Context, box string) error {
	return p.reboot(ctx, box)
}

// Serve answers the platform's protocol on a listener until Close.
func (p *Platform) Serve(listener net.Listener) {
	router := mux.NewRouter()
	router.HandleFunc("/v1/log/{stream}", p.append).Methods(http.MethodPost)
	router.HandleFunc("/v1/log/{stream}", p.read).Methods(http.MethodGet)
	router.HandleFunc("/v1/list", p.list).Methods(http.MethodGet)
	router.HandleFunc("/v1/boxes/{box}/maintain", p.maintain).Methods(http.MethodPost)
	p.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	p.group.Go(func() error { return p.server.Serve(listener) })
}

// Close stops serving and waits.
func (p *Platform) Close() {
	_ = p.server.Close()
	_ = p.group.Wait()
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	offset, err := p.Log.Append(r.Context(), mux.Vars(r)["stream"], string(data))
	answer(w, wire.AppendReply{Offset: offset}, err)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var numbers [3]int
	for i, name := range []string{"from", "max", "wait_ms"} {
		number, err := strconv.Atoi(r.URL.Query().Get(name))
		if err != nil {
			http.Error(w, fmt.Sprintf("%s: %v", name, err), http.StatusBadRequest)
			return
		}
		numbers[i] = number
	}
	page, err := p.Log.Read(r.Context(), mux.Vars(r)["stream"], numbers[0], numbers[1], numbers[2])
	answer(w, page, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	boxes, err := p.Boxes(r.Context(), r.URL.Query().Get("hall"))
	text, marshalErr := json.Marshal(boxes)
	tag := `"` + strconv.FormatUint(xxhash.Sum64(text), 16) + `"`
	if err == nil && marshalErr == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	answer(w, boxes, errors.Join(err, marshalErr))
}

func (p *Platform) maintain(w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, p.Maintain(r.Context(), mux.Vars(r)["box"]))
}

func answer(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, errLost) {
		breakOff(w)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}

// breakOff closes the connection without an answer.
func breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sizes of the store's calls and pages.
const (
	maxCallBytes  = 2 << 20
	keysPerPage   = 500
	bytesPerPage  = 1 << 20
	lengthBytes   = 4
	groupParts    = 24
	rememberedSeq = 5
)

// keyedRecord is one record of a partition.
type keyedRecord struct {
	key    string
	value  []byte
	offset int
}

// partition is one partition of a topic. It keeps all of its records.
type partition struct {
	records []keyedRecord
	newest  map[string]keyedRecord
	epoch   int
	lastSeq int
	answers map[int]int // Offsets of the epoch's appends, by sequence number.
}

// memberGroup is a group that deals the partitions of its topics to its members.
type memberGroup struct {
	generation int
	topics     []string
	expiresAt  map[string]time.Time
}

// store is the platform's log. Each node calls it through a handler of its own, so that it knows the calling machine.
type store struct {
	clock      clockwork.Clock
	mutex      sync.Mutex
	changed    *sync.Cond
	partitions map[string]*partition
	groups     map[string]*memberGroup
	// lastAppend holds, by producer, the node that has appended last.
	lastAppend map[string]int
	// watch is told the node and the records of each append that has been carried out, or is nil. If it returns true the append
	// is never answered.
	watch func(node int, records []keyedRecord) bool
}

func newStore(clock clockwork.Clock) *store {
	s := &store{clock: clock, partitions: map[string]*partition{}, groups: map[string]*memberGroup{}, lastAppend: map[string]int{}}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

// handler returns the handler of a node's calls.
func (s *store) handler(node int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, node) })
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.readNewest)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	return mux
}

// producerNode returns the node that has appended last as a producer, or -1 if none has.
func (s *store) producerNode(producer string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if node, found := s.lastAppend[producer]; found {
		return node
	}
	return -1
}

// part returns a partition. The caller holds the lock.
func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{newest: map[string]keyedRecord{}, answers: map[int]int{}}
	}
	return s.partitions[name]
}

func (s *store) requested(r *http.Request) *partition {
	return s.part(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
}

// put writes a keyed record, as the operator and the workers do.
func (s *store) put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.part(topic, "0").add(keyedRecord{key: key, value: value})
	s.changed.Broadcast()
}

func (p *partition) add(record keyedRecord) {
	record.offset = len(p.records)
	p.records = append(p.records, record)
	p.newest[record.key] = record
	if len(record.value) == 0 {
		delete(p.newest, record.key)
	}
}

// decodeRecords decodes the body of an append to a keyed topic, and reports whether it is well-formed.
func decodeRecords(body []byte) ([]keyedRecord, bool) {
	var records []keyedRecord
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if length < 1 || length > len(body) || 1+int(body[0]) > length {
			return nil, false
		}
		keyLength := int(body[0])
		records = append(records, keyedRecord{key: string(body[1 : 1+keyLength]), value: slices.Clone(body[1+keyLength : length])})
		body = body[length:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, node int) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	records, valid := decodeRecords(body)
	if err != nil || !valid {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	query := r.URL.Query()
	if strings.HasPrefix(query.Get("topic"), "keyed.op") || query.Get("topic") == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.requested(r)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	if producer := query.Get("producer"); producer != "" {
		if status, reply, done := p.checkProducer(query.Get("epoch"), query.Get("seq")); done {
			writeJSON(w, status, reply)
			return
		}
		if len(records) > 0 {
			s.lastAppend[producer] = node
		}
	}
	offset := len(p.records)
	for _, record := range records {
		p.add(record)
	}
	s.changed.Broadcast()
	if s.watch != nil && s.watch(node, records) {
		s.mutex.Unlock()
		<-r.Context().Done()
		s.mutex.Lock()
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

// checkProducer checks the epoch and the sequence number of an append. It returns the answer if the append is refused or
// has been carried out before.
func (p *partition) checkProducer(epochText, seqText string) (int, map[string]any, bool) {
	epoch, _ := strconv.Atoi(epochText)
	seq, _ := strconv.Atoi(seqText)
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}, true
	case epoch > p.epoch:
		p.epoch, p.answers = epoch, map[int]int{}
	case seq <= p.lastSeq:
		if offset, known := p.answers[seq]; known && seq > p.lastSeq-rememberedSeq {
			return http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)}, true
		}
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.lastSeq + 1}, true
	case seq != p.lastSeq+1:
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.lastSeq + 1}, true
	}
	p.lastSeq = seq
	p.answers[seq] = len(p.records)
	return 0, nil, false
}

// wait waits until something has changed or a time has passed. The caller holds the lock.
func (s *store) wait(until time.Time) {
	timer := s.clock.AfterFunc(s.clock.Until(until), s.changed.Broadcast)
	s.changed.Wait()
	timer.Stop()
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from_rev"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	until := s.clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	s.mutex.Lock()
	p := s.requested(r)
	for from >= len(p.records) && s.clock.Now().Before(until) && r.Context().Err() == nil {
		s.wait(until)
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for at := from; at < len(p.records) && len(body) < bytesPerPage; at++ {
		record := p.records[at]
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	s.mutex.Unlock()
	// If the write fails, the caller has gone.
	_, _ = w.Write(body)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.requested(r)
	after, hasAfter := r.URL.Query().Get("depends_on"), r.URL.Query().Has("depends_on")
	items, size, more := []map[string]any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if hasAfter && key <= after {
			continue
		}
		record := p.newest[key]
		size += len(record.value)
		if len(items) == keysPerPage || len(items) > 0 && size > bytesPerPage {
			more = true
			break
		}
		items = append(items, map[string]any{"private_key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

// memberCall is the body of a call that joins or leaves a group.
type memberCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int      `json:"ttl_ms"`
}

// group returns a group without its expired members. The caller holds the lock.
func (s *store) group(name string) *memberGroup {
	g := s.groups[name]
	if g == nil {
		g = &memberGroup{expiresAt: map[string]time.Time{}}
		s.groups[name] = g
	}
	for member, at := range g.expiresAt {
		if s.clock.Now().After(at) {
			delete(g.expiresAt, member)
			g.generation++
		}
	}
	return g
}

// rows returns the dealt partitions: those of a member, or all with their members if it is empty.
func (g *memberGroup) rows(member string) [][]any {
	rows, members := [][]any{}, slices.Sorted(maps.Keys(g.expiresAt))
	if len(members) == 0 {
		return rows
	}
	for index, topic := range g.topics {
		for part := range groupParts {
			holder := members[(index*groupParts+part)%len(members)]
			switch member {
			case "":
				rows = append(rows, []any{topic, part, holder, 0})
			case holder:
				rows = append(rows, []any{topic, part, 0})
			}
		}
	}
	return rows
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call memberCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(call.Group)
	if _, known := g.expiresAt[call.Member]; !known {
		g.generation++
	}
	if len(call.Topics) > len(g.topics) {
		g.topics = call.Topics
		g.generation++
	}
	g.expiresAt[call.Member] = s.clock.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": call.TTLMs, "parts": g.rows(call.Member)})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call memberCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.group(call.Group)
	if _, known := g.expiresAt[call.Member]; known {
		delete(g.expiresAt, call.Member)
		g.generation++
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"parts": s.group(r.URL.Query().Get("group")).rows("")})
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the caller has gone.
	_, _ = w.Write(text)
}

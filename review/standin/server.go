package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	// adapterLoadTime and baseLoadTime are how long a server takes to load an adapter from the weight store, and the weights of a
	// model that it has held before.
	adapterLoadTime = 250 * time.Millisecond
	baseLoadTime    = 500 * time.Millisecond
	// restartTime is how long a server that crashed is away.
	restartTime = 3 * time.Second
	baseModel   = "base"
)

// order is an order that has reached a server.
type order struct {
	at                         time.Time
	operation, adapter, holder string
	fence                      int64
	status                     int
}

// run is a request that a server has begun to run.
type run struct {
	at              time.Time
	request, server string
	lastEvent       string
	// target and host are those of the request line, host that of the header where the line names none.
	target, host string
}

// server is a stand-in for a backend server, by the page PROTOCOL. Without an engine it's one of a plain service.
type server struct {
	id, service, address string
	store                *store
	record               *recorder
	// fenced makes the server refuse orders with outdated fencing tokens.
	fenced bool
	// slots, capacityMB and adapterMB bound the adapters; slots is 0 for a plain service.
	slots                         int
	weightsMB, modelMB, adapterMB float64
	// answer answers a request that runs; nil means a short answer, or a short stream.
	answer func(w http.ResponseWriter, r *http.Request)
	// version is that of the server's software.
	version string
	// crashesOn is the part of prompts on which the server crashes, empty for none, and crashEvents the number of events that it
	// writes before it does.
	crashesOn   string
	crashEvents int

	mu       sync.Mutex
	http     *http.Server
	born     int64
	down     bool
	hasBase  bool
	loadedAt time.Time
	// ready holds when each adapter is loaded.
	ready    map[string]time.Time
	sequence int64
	fence    int64
	running  int
	orders   []order
	runs     []run
	// overloads counts the orders for more than the server holds, poisoned holds when requests reached it on which it crashes.
	overloads int
	poisoned  []time.Time
	crashes   []time.Time
}

// start listens, at the address of before if there is one, and begins to write the server's entry.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	first := s.address == ""
	s.address = listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.down = false
	s.ready = map[string]time.Time{}
	s.sequence, s.fence, s.running = 0, 0, 0
	s.hasBase = first
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	served := s.http
	s.mu.Unlock()
	go func() { _ = served.Serve(listener) }()
	s.beat()
	return nil
}

// beat writes the server's entry, unless the server is down.
func (s *server) beat() {
	s.mu.Lock()
	entry := with(wire.Entry, object{
		"service": s.service, "address": s.address, "zone": "a", "slots": 64, "sequence": s.sequence, "born": s.born,
	})
	if s.slots == 0 {
		entry["slots"] = 6
	}
	if s.version != "" {
		entry["version"] = s.version
	}
	down := s.down
	s.mu.Unlock()
	if !down {
		s.store.put(wire.Topics.Servers, s.id, entry)
	}
}

// beatUntil writes the entry periodically until ctx ends.
func (s *server) beatUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatPeriod):
			s.beat()
		}
	}
}

// crash closes all connections of the server, which starts again after restartTime and is empty then.
func (s *server) crash() { s.restart(restartTime, s.version) }

// restart is crash with the time that the server is away, and the version of its software from then on.
func (s *server) restart(away time.Duration, version string) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.crashes = append(s.crashes, time.Now())
	ended := s.http
	s.mu.Unlock()
	s.record.line("%s: crashes", s.id)
	go func() {
		_ = ended.Close()
		time.Sleep(away)
		s.mu.Lock()
		s.version = version
		s.mu.Unlock()
		if err := s.start(); err != nil {
			s.record.line("%s: can't start again: %v", s.id, err)
			return
		}
		s.record.line("%s: is back, software %q", s.id, version)
	}()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := wire.Headers
	w.Header().Set(h.Server, s.id)
	if id := r.Header.Get(h.Request); id != "" {
		w.Header().Set(h.Request, id)
	}
	if expected := r.Header.Get(h.ExpectServer); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + wire.Paths.Report:
		s.serveReport(w)
	case "POST " + wire.Paths.Order:
		s.serveOrder(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	models, coming, now := []object{}, []string{}, time.Now()
	if s.holdsBase(now) {
		adapters := []string{}
		for name, at := range s.ready {
			if now.Before(at) {
				coming = append(coming, baseModel+"/"+name+"@1")
				continue
			}
			adapters = append(adapters, name+"@1")
		}
		models = append(models, object{"name": baseModel, "version": 1, "adapters": adapters})
	}
	writeJSON(w, object{
		"stage": "both", "models": models, "busy": s.hasBase && !s.holdsBase(now), "sequence": s.sequence, "running": s.running,
		"waiting": 0, "coming": coming, "born": s.born,
	})
}

// holdsBase reports whether the weights of the model are loaded. The caller holds s.mu.
func (s *server) holdsBase(now time.Time) bool { return s.hasBase && !now.Before(s.loadedAt) }

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation, Adapter, Holder string
		Expect                     *int64
		Fence                      int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{at: time.Now(), operation: body.Operation, adapter: body.Adapter, holder: body.Holder, fence: body.Fence}
	s.mu.Lock()
	o.status = s.carryOut(o, body.Expect)
	s.orders = append(s.orders, o)
	overloaded := s.exceeds()
	if overloaded {
		s.overloads++
	}
	held := len(s.ready)
	s.mu.Unlock()
	s.record.line("%s: order %s %s of holder %s with fence %d -> %d", s.id, o.operation, o.adapter, o.holder, o.fence, o.status)
	if overloaded {
		s.record.line("%s: was ordered to hold %d adapters of %.0f MB, has %d places and %.0f MB for weights of %.0f MB and adapters",
			s.id, held, s.adapterMB, s.slots, s.weightsMB, s.modelMB)
		s.crash()
	}
	w.WriteHeader(o.status)
}

// exceeds reports whether the server was ordered to hold more than it can. The caller holds s.mu.
func (s *server) exceeds() bool {
	return len(s.ready) > s.slots || s.modelMB+float64(len(s.ready))*s.adapterMB > s.weightsMB
}

// carryOut applies an order and returns the status of the answer. The caller holds s.mu.
func (s *server) carryOut(o order, expect *int64) (status int) {
	_, held := s.ready[o.adapter]
	switch {
	case s.fenced && o.fence < s.fence:
		return http.StatusPreconditionFailed
	case s.hasBase && !s.holdsBase(o.at):
		return http.StatusConflict
	case o.operation == "load" && o.adapter != "" && held:
		if o.at.Before(s.ready[o.adapter]) {
			return http.StatusAccepted
		}
		return http.StatusOK
	case expect != nil && *expect != s.sequence:
		return http.StatusConflict
	}
	s.fence = max(s.fence, o.fence)
	s.sequence++
	switch {
	case o.operation == "unload":
		delete(s.ready, o.adapter)
		return http.StatusOK
	case o.adapter == "":
		s.hasBase, s.loadedAt = true, o.at.Add(baseLoadTime)
	default:
		s.ready[o.adapter] = o.at.Add(adapterLoadTime)
	}
	return http.StatusAccepted
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	h, now := wire.Headers, time.Now()
	_, adapter, _ := strings.Cut(r.Header.Get(h.Model), "/")
	poison := s.crashesOn != "" && slices.ContainsFunc(strings.Split(r.Header.Get(h.Prompt), ","), func(part string) bool {
		return strings.HasPrefix(part, s.crashesOn+":")
	})
	s.mu.Lock()
	at, held := s.ready[adapter]
	lacks := s.slots > 0 && (!s.holdsBase(now) || adapter != "" && (!held || now.Before(at)))
	if poison {
		s.poisoned = append(s.poisoned, now)
	}
	if !lacks {
		s.running++
		s.runs = append(s.runs, run{
			at: now, request: r.Header.Get(h.Request), server: s.id, lastEvent: r.Header.Get(h.LastEvent), target: r.RequestURI, host: r.Host,
		})
	}
	s.mu.Unlock()
	if lacks {
		s.record.line("%s: refuses %s, lacks %q", s.id, r.Header.Get(h.Request), adapter)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.record.line("%s: runs %s, %s %s, last event %q", s.id, r.Header.Get(h.Request), r.Method, r.RequestURI, r.Header.Get(h.LastEvent))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if poison {
		// The prompt is read, and the server crashes as it begins to write the answer, or some events later.
		time.Sleep(30 * time.Millisecond)
		if s.crashEvents > 0 {
			w.Header().Set(h.Digest, "seal."+r.Header.Get(h.Request))
			writeEvents(w, 1, s.crashEvents, 30*time.Millisecond)
		}
		s.crash()
		abort(w)
		return
	}
	w.Header().Set(h.Digest, "seal."+r.Header.Get(h.Request))
	switch {
	case s.answer != nil:
		s.answer(w, r)
	case s.slots == 0:
		_, _ = fmt.Fprintf(w, "%s by %s", s.id, s.service)
	default:
		writeEvents(w, 1, 5, 20*time.Millisecond)
	}
}

// writeEvents writes the events from first to last of a stream, and returns false if the caller has closed the connection.
func writeEvents(w http.ResponseWriter, first, last int, pause time.Duration) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= last; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// abort resets the connection.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

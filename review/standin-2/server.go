package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	baseModel       = "base"
	heartbeatPeriod = 1200 * time.Millisecond
	baseLoadTime    = 600 * time.Millisecond
	warmBaseTime    = 300 * time.Millisecond
	adapterLoadTime = 250 * time.Millisecond
	warmAdapterTime = 25 * time.Millisecond
	serverSlots     = 64
	adapterSlots    = 30
	// baseWeights and adapterWeights are the sizes of the model and of an adapter, in MB.
	baseWeights    = 65_100
	adapterWeights = 12
)

// engine is a stand-in for a model server. It keeps its ID and its address when it starts again.
type engine struct {
	id, address, service, zone string
	store                      *store
	rec                        *record
	// eventPeriod is the time between two events of a stream, lastEvent the number of the last one.
	eventPeriod time.Duration
	lastEvent   int
	// ran is called when a request begins to run.
	ran func(request, adapter, version string)

	mu      sync.Mutex
	version string
	born    int64
	server  *http.Server
	stop    chan struct{}
	// heldBefore holds what the server has held, and so loads fast.
	heldBefore map[string]bool
	hasBase    bool
	busy       bool
	adapters   map[string]int
	coming     map[string]int
	sequence   int64
	fence      int64
	running    int
	// weights is the memory for weights and adapters in MB, 0 for enough; overloads counts the orders for more than that.
	weights, overloads int
	// beatAfter is when the server writes its entry again.
	beatAfter time.Time
}

// start starts the server in a new incarnation with a version of its software. It restarts empty unless it starts with models.
func (e *engine) start(version string, withBase bool) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.version, e.born = version, time.Now().UnixMilli()
	if e.heldBefore == nil {
		e.heldBefore = map[string]bool{}
	}
	e.hasBase, e.busy = withBase, false
	e.adapters, e.coming = map[string]int{}, map[string]int{}
	e.sequence, e.fence, e.running = 0, 0, 0
	e.stop = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["report"], e.serveReport)
	mux.HandleFunc("POST "+names["order"], e.serveOrder)
	mux.HandleFunc("GET "+names["health"], e.serveHealth)
	mux.HandleFunc("/", e.serveRequest)
	e.server = &http.Server{Handler: mux}
	server, stop := e.server, e.stop
	e.mu.Unlock()
	e.rec.add("server %s starts, software %s, born %d", e.id, version, e.born)
	go func() { _ = server.Serve(listener) }()
	go e.beat(stop)
	return nil
}

// crash ends the server without a word: its connections are reset or closed, and nobody listens at its address.
func (e *engine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	_ = server.Close()
	e.rec.add("server %s has crashed", e.id)
}

// beat writes the server's entry each heartbeatPeriod.
func (e *engine) beat(stop chan struct{}) {
	for {
		e.writeEntry()
		wait := heartbeatPeriod
		e.mu.Lock()
		if delayed := time.Until(e.beatAfter); delayed > 0 {
			wait = delayed
		}
		e.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	if time.Now().Before(e.beatAfter) {
		e.mu.Unlock()
		return
	}
	entry := object{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": serverSlots, "state": "ready",
		"stage": "both", "models": e.models(), "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	if e.store.put(names["serversTopic"], e.id, entry) {
		e.rec.add("server %s has written its entry: software %v, born %v", e.id, entry["version"], entry["born"])
	}
}

// models lists the models and adapters that the server holds. The caller holds e.mu.
func (e *engine) models() []object {
	if !e.hasBase {
		return []object{}
	}
	adapters := []string{}
	for name, version := range e.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	return []object{{"name": baseModel, "version": 1, "adapters": adapters}}
}

// addressed answers 421 if a request expects another server.
func (e *engine) addressed(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(names["expectServer"]); expected != "" && expected != e.id {
		w.Header().Set(names["serverID"], e.id)
		e.misdirected(w, r)
		return false
	}
	return true
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(names["requestID"]); id != "" {
		w.Header().Set(names["requestID"], id)
	}
	w.Header().Set(names["notRun"], "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (e *engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names["serverID"], e.id)
	writeJSON(w, object{"born": e.born})
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if !e.addressed(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	coming := []string{}
	for name, version := range e.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", baseModel, name, version))
	}
	writeJSON(w, object{
		"stage": "both", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": e.running,
		"kvUsed": 0, "kvTotal": 128573, "handles": 0, "coming": coming, "born": e.born,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.addressed(w, r) {
		return
	}
	var order struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		Expect                            *int64
		Fence                             *int64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == nil || !isAdapter(order.Adapter) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	version, present := e.adapters[order.Adapter]
	_, coming := e.coming[order.Adapter]
	wanted := max(order.Version, 1)
	switch {
	case *order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Operation == "load" && (order.Adapter == "" && e.hasBase || present && version >= wanted):
		return
	case order.Operation == "unload" && order.Adapter != "" && !present:
		return
	case order.Operation == "load" && coming:
		w.WriteHeader(http.StatusAccepted)
		return
	case order.Expect != nil && *order.Expect != e.sequence, e.busy, order.Adapter != "" && !e.hasBase:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = *order.Fence
	e.sequence++
	e.rec.add("server %s: order %s %s/%s from %s, fence %d", e.id, order.Operation, order.Model, order.Adapter, order.Holder, *order.Fence)
	switch {
	case order.Operation == "unload":
		delete(e.adapters, order.Adapter)
		return
	case order.Adapter == "":
		e.busy = true
		e.after(e.loadTime(baseModel, baseLoadTime, warmBaseTime), func() { e.hasBase, e.busy = true, false })
	case !present && e.overloaded(len(e.adapters)+len(e.coming)+1):
		e.rec.add("server %s crashes: it was ordered to load its adapter %d, its memory is %d MB", e.id, len(e.adapters)+len(e.coming)+1, e.weights)
		e.overloads++
		go e.crash()
		return
	default:
		e.coming[order.Adapter] = wanted
		e.after(e.loadTime(order.Adapter, adapterLoadTime, warmAdapterTime), func() {
			delete(e.coming, order.Adapter)
			e.adapters[order.Adapter] = wanted
		})
	}
	w.WriteHeader(http.StatusAccepted)
}

// overloaded reports whether so many adapters are more than the server holds. The caller holds e.mu.
func (e *engine) overloaded(adapters int) bool {
	return adapters > adapterSlots || e.weights > 0 && baseWeights+adapters*adapterWeights > e.weights
}

// isAdapter reports whether the model has an adapter of that name, or the name is empty.
func isAdapter(name string) bool {
	if name == "" {
		return true
	}
	number, err := strconv.Atoi(strings.TrimPrefix(name, "a"))
	return err == nil && number >= 1 && number <= 3000
}

// loadTime returns the time of a load, and notes it. The caller holds e.mu.
func (e *engine) loadTime(name string, cold, warm time.Duration) time.Duration {
	if e.heldBefore[name] {
		return warm
	}
	e.heldBefore[name] = true
	return cold
}

// after applies a change after a time, unless the server has ended by then.
func (e *engine) after(wait time.Duration, change func()) {
	incarnation := e.born
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == incarnation {
			change()
		}
	})
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !e.addressed(w, r) {
		return
	}
	id := r.Header.Get(names["requestID"])
	model, adapter, _ := strings.Cut(r.Header.Get(names["model"]), "/")
	e.mu.Lock()
	held, present := e.adapters[adapter]
	expected, _ := strconv.Atoi(r.Header.Get(names["expectVersion"]))
	if model != baseModel || !e.hasBase || adapter != "" && !present || expected != 0 && adapter != "" && expected != held {
		e.mu.Unlock()
		e.misdirected(w, r)
		return
	}
	if e.running >= serverSlots {
		e.mu.Unlock()
		w.Header().Set(names["requestID"], id)
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version, stop := e.version, e.stop
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stop == stop {
			e.running--
		}
	}()
	if e.ran != nil {
		e.ran(id, adapter, version)
	}
	last, _ := strconv.Atoi(r.Header.Get(names["lastEvent"]))
	e.rec.add("server %s (software %s) runs request %s after event %d", e.id, version, id, last)
	w.Header().Set(names["requestID"], id)
	w.Header().Set(names["digest"], fmt.Sprintf("%s.%s", id, e.id))
	w.Header().Set(names["weights"], strconv.Itoa(held))
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= e.lastEvent; number++ {
		select {
		case <-time.After(e.eventPeriod):
		case <-r.Context().Done():
			return
		case <-stop:
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d made by software %s of %s\n\n", number, number, version, e.id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

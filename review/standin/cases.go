package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// playFence checks that holders give orders with rising fencing tokens, by servers that don't check them.
//
// The group's partitions are dealt anew at once, as at times. Then the store comes back from a copy that is older than that.
func playFence(s *site) (verdict, error) {
	s.fenced = false
	if err := s.startModelSite(3, 6, wire.Engine, nil); err != nil {
		return verdict{}, err
	}
	stop := s.demand(40, 20*time.Millisecond)
	defer stop()
	s.sleep(6 * time.Second)
	kept := s.store.backUp()
	s.sleep(500 * time.Millisecond)
	s.store.rebalance()
	s.sleep(5500 * time.Millisecond)
	if s.trouble {
		s.store.comeBackFrom(kept, 500*time.Millisecond)
		s.rewrite()
	}
	s.sleep(14 * time.Second)
	stop()
	s.sleep(time.Second)
	return s.judgeHolders(), nil
}

// startModelSite starts nodes before model servers with one route, which streams.
func (s *site) startModelSite(nodes, servers int, engine object, prepare func(*server)) error {
	s.configure(configuration(1, []any{
		route("stream", "streaming", "models", nil),
		route("resume", "streaming", "models", object{"resumable": true, "timeoutMs": 15000}),
	}, []any{modelService("models", engine)}))
	model := engine["models"].([]any)[0].(object)
	for i := range servers {
		added := &server{
			id: fmt.Sprintf("m%d", i), service: "models", slots: int(engine["adapterSlots"].(float64)),
			weightsMB: engine["weightsMb"].(float64), modelMB: model["weightsMb"].(float64), adapterMB: model["adapterMb"].(float64),
		}
		if prepare != nil {
			prepare(added)
		}
		if err := s.addServers(added); err != nil {
			return err
		}
	}
	return s.addNodes(nodes)
}

// rewrite writes again what the servers and the operator wrote, once the store is back from a copy.
func (s *site) rewrite() {
	for _, each := range s.servers {
		each.beat()
	}
}

// demand sends requests for so many adapters, one after each pause, to the nodes in turn, until the returned function is called.
func (s *site) demand(adapters int, pause time.Duration) (stop func()) {
	ended := make(chan struct{})
	var once sync.Once
	go func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(pause):
			}
			adapter := fmt.Sprintf("%s/a%d", baseModel, 1+rand.IntN(adapters))
			go s.stream(s.nodes[i%len(s.nodes)], "/stream/x", adapter, "aaaa:50,"+strconv.Itoa(i)+":70", 4*time.Second)
		}
	}()
	return func() { once.Do(func() { close(ended) }) }
}

// judgeHolders judges the orders at each server by the rule ONE, where servers don't check fencing tokens.
func (s *site) judgeHolders() verdict {
	var lower, shared, turns, all int
	for _, each := range s.servers {
		each.mu.Lock()
		orders := slices.Clone(each.orders)
		each.mu.Unlock()
		all += len(orders)
		highest, holderOf := int64(0), map[int64]string{}
		for i, o := range orders {
			if o.fence < highest {
				lower++
				s.record.line("%s: order at %.3f of holder %s has fence %d after %d", each.id, s.record.at(o.at), o.holder, o.fence, highest)
			}
			highest = max(highest, o.fence)
			if known, found := holderOf[o.fence]; found && known != o.holder {
				shared++
				s.record.line("%s: order at %.3f has fence %d of holder %s and of %s", each.id, s.record.at(o.at), o.fence, o.holder, known)
			} else {
				holderOf[o.fence] = o.holder
			}
			if takesTurn(orders[:i+1]) {
				turns++
				s.record.line("%s: holder %s gives an order again at %.3f within %v", each.id, o.holder, s.record.at(o.at), leaseTime)
			}
		}
	}
	return verdict{lower+shared+turns > 0, fmt.Sprintf(
		"ONE: of %d orders, %d had a lower fence number after a higher one, %d a fence number of another holder, %d were turns",
		all, lower, shared, turns)}
}

// takesTurn reports whether the holder of the last order gave one before another holder did, all within leaseTime.
func takesTurn(orders []order) bool {
	last := orders[len(orders)-1]
	other := false
	for _, o := range slices.Backward(orders[:len(orders)-1]) {
		switch {
		case last.at.Sub(o.at) > leaseTime:
			return false
		case o.holder != last.holder:
			other = true
		case other:
			return true
		}
	}
	return false
}

// playConfiguration checks that a configuration is in force everywhere in time.
//
// Some configurations come in succession. Then the store comes back from a copy that is older than these.
func playConfiguration(s *site) (verdict, error) {
	services := []any{plainService("desk"), plainService("archive")}
	routes := func(timeoutMs int) []any {
		return []any{
			route("steady", "safe", "desk", object{"timeoutMs": timeoutMs}), route("moved", "safe", "desk", object{"timeoutMs": timeoutMs}),
		}
	}
	s.configure(configuration(1, routes(3000), services))
	for i := range 3 {
		if err := s.addServers(
			&server{id: fmt.Sprintf("d%d", i), service: "desk"}, &server{id: fmt.Sprintf("a%d", i), service: "archive"},
		); err != nil {
			return verdict{}, err
		}
	}
	if err := s.addNodes(6); err != nil {
		return verdict{}, err
	}
	s.sleep(6 * time.Second)
	kept := s.store.backUp()
	for version := 2; version <= 4; version++ {
		s.sleep(time.Second)
		s.configure(configuration(version, routes(3000-100*version), services))
	}
	s.sleep(time.Second)
	if s.trouble {
		s.store.comeBackFrom(kept, 400*time.Millisecond)
		s.rewrite()
		s.configure(configuration(4, routes(2600), services))
	}
	s.sleep(2 * stableWindow)
	changed := append(routes(2600)[:1], route("moved", "safe", "archive", nil), route("added", "safe", "archive", nil))
	acknowledgedAt := s.configure(configuration(5, changed, services))
	s.sleep(configApply + 100*time.Millisecond)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && s.sleep(200*time.Millisecond); {
		var sent sync.WaitGroup
		for _, n := range s.nodes {
			sent.Go(func() { s.judgeRoutes(n, acknowledgedAt) })
		}
		sent.Wait()
	}
	late, by := s.lateRoutes()
	return verdict{late > 0, fmt.Sprintf(
		"CONFIG: %d requests sent later than %v after the acknowledgement were handled as only an older version allows, at %d of %d nodes",
		late, configApply, by, len(s.nodes))}, nil
}

// lateAnswers counts by node the requests that were handled by an outdated configuration.
var lateAnswers = struct {
	sync.Mutex
	byNode map[string]int
}{byNode: map[string]int{}}

// judgeRoutes sends one request on the route that moved and one on the route that was added.
func (s *site) judgeRoutes(n *node, acknowledgedAt time.Time) {
	for _, path := range []string{"/moved/x", "/added/x"} {
		a := s.call(n, http.MethodGet, path, "", 2*time.Second, nil)
		outdated := a.status == http.StatusNotFound || a.status == http.StatusOK && a.body[len(a.body)-len("desk"):] == "desk"
		if !outdated {
			continue
		}
		s.record.line("judge: %s at %s, %.1f s after the acknowledgement, got %d %q by an older configuration",
			a.id, n.name, a.sentAt.Sub(acknowledgedAt).Seconds(), a.status, a.body)
		lateAnswers.Lock()
		lateAnswers.byNode[n.name]++
		lateAnswers.Unlock()
	}
}

func (s *site) lateRoutes() (requests, nodes int) {
	lateAnswers.Lock()
	defer lateAnswers.Unlock()
	for _, count := range lateAnswers.byNode {
		requests += count
	}
	return requests, len(lateAnswers.byNode)
}

// work is the time in which a server works on a request.
type work struct {
	server     string
	begun, end time.Time
}

// playEndless checks that a stream goes on at another server only when the server before works on it no longer.
//
// A server in trouble sends bytes that are no answer, without end, in the body of a stream.
func playEndless(s *site) (verdict, error) {
	var mu sync.Mutex
	works := map[string][]*work{}
	err := s.startModelSite(1, 2, wire.Engine, func(added *server) {
		added.answer = func(w http.ResponseWriter, r *http.Request) {
			id, last := r.Header.Get(wire.Headers.Request), r.Header.Get(wire.Headers.LastEvent)
			own := &work{server: added.id, begun: time.Now()}
			mu.Lock()
			works[id] = append(works[id], own)
			mu.Unlock()
			resumedAfter, _ := strconv.Atoi(last)
			if s.trouble && last == "" {
				writeEvents(w, 1, 3, 50*time.Millisecond)
				writeEndless(w)
			} else {
				writeEvents(w, resumedAfter+1, 40, 50*time.Millisecond)
			}
			mu.Lock()
			own.end = time.Now()
			mu.Unlock()
			s.record.line("%s: works no longer on %s", added.id, id)
		}
	})
	if err != nil {
		return verdict{}, err
	}
	s.sleep(4 * time.Second)
	for range 5 {
		s.stream(s.nodes[0], "/resume/x", baseModel, "aaaa:50,bbbb:70", 10*time.Second)
		s.sleep(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	resumed, broken := 0, 0
	for id, attempts := range works {
		for i := 1; i < len(attempts); i++ {
			resumed++
			if overlap := attempts[i-1].end.Sub(attempts[i].begun); overlap > 400*time.Millisecond {
				broken++
				s.record.line("judge: %s runs at %s since %.3f, and %s works on it until %.3f", id, attempts[i].server,
					s.record.at(attempts[i].begun), attempts[i-1].server, s.record.at(attempts[i-1].end))
			}
		}
	}
	return verdict{broken > 0, fmt.Sprintf(
		"TWICE: of %d streams, %d went on at another server, %d of them while the server before worked on them over 400 ms later",
		len(works), resumed, broken)}, nil
}

// writeEndless writes bytes that are no event until the caller closes the connection.
func writeEndless(w io.Writer) {
	data := make([]byte, 16<<10)
	for i := range data {
		data[i] = 'x'
	}
	for {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// playPath checks that a request reaches a server with the path that the client sent.
//
// A new version of the configuration adds a route for all paths of the host.
func playPath(s *site) (verdict, error) {
	services := []any{plainService("desk")}
	routes := []any{route("steady", "safe", "desk", nil)}
	s.configure(configuration(1, routes, services))
	if err := s.addServers(&server{id: "d0", service: "desk"}, &server{id: "d1", service: "desk"}); err != nil {
		return verdict{}, err
	}
	if err := s.addNodes(1); err != nil {
		return verdict{}, err
	}
	s.sleep(2 * time.Second)
	if s.trouble {
		all := route("all", "safe", "desk", object{"pathPrefix": "/"})
		s.configure(configuration(2, append(routes, all), services))
	}
	s.sleep(4 * time.Second)
	sent := map[string]string{}
	for _, path := range []string{"/steady/x", "/steady//x", "/reports/7", "//reports/7", "//reports/7?page=2"} {
		a := s.call(s.nodes[0], http.MethodGet, path, "", 2*time.Second, nil)
		sent[a.id] = path
	}
	changed := 0
	for _, each := range s.servers {
		each.mu.Lock()
		for _, r := range each.runs {
			if r.target != sent[r.request] {
				changed++
				s.record.line("judge: the client sent %s with %q, %s ran it with %q of host %q", r.request, sent[r.request], r.server, r.target, r.host)
			}
		}
		each.mu.Unlock()
	}
	return verdict{changed > 0, fmt.Sprintf("UNASKED: of %d requests, %d were run with another path", len(sent), changed)}, nil
}

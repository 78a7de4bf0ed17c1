package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// poisonPart is the part of prompts on which servers crash, soundPart that of other requests.
	poisonPart = "bad0bad0"
	soundPart  = "cccc0000"
	firstPart  = "aaaa0000"
	// poisonPeriod is the time between two pairs of requests with poisonPart.
	poisonPeriod = 6 * time.Second
	// allowedLate is how many requests with poisonPart may reach servers later than stableWindow after the fifth crash.
	allowedLate = 3
)

// playPoison checks that requests with a part on which servers crash are kept away from them.
//
// All processes of the system are killed at once, and start again.
func playPoison(s *site) (verdict, error) { return s.playCrashes(0, s.trouble) }

// playLatePoison is playPoison for servers that crash 0.3 s after they have begun to write the answer. No process is killed.
func playLatePoison(s *site) (verdict, error) {
	const lateEvents = 10
	if s.trouble {
		return s.playCrashes(lateEvents, false)
	}
	return s.playCrashes(0, false)
}

// playCrashes plays requests on which servers crash after so many events. It may kill all processes in between.
func (s *site) playCrashes(crashEvents int, kill bool) (verdict, error) {
	err := s.startModelSite(3, 8, wire.Engine, func(added *server) {
		added.crashesOn, added.crashEvents = poisonPart, crashEvents
		added.answer = func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 20, 50*time.Millisecond) }
	})
	if err != nil {
		return verdict{}, err
	}
	stop := s.soundRequests()
	defer stop()
	s.sleep(5 * time.Second)
	for round := range 9 {
		s.sendPoison(round)
		if round == 4 && kill {
			s.sleep(500 * time.Millisecond)
			s.killAll()
		}
		s.sleep(poisonPeriod)
	}
	stop()
	return s.judgePoison(), nil
}

// soundRequests sends requests without the part, which have their first part in common with those that have it.
func (s *site) soundRequests() (stop func()) {
	ended := make(chan struct{})
	var once sync.Once
	go func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
			parts := fmt.Sprintf("%s:50,%s:40,%08x:30", firstPart, soundPart, 1_000_000+i)
			go func() {
				if a := s.stream(s.nodes[i%len(s.nodes)], "/stream/x", baseModel, parts, 4*time.Second); a.status == http.StatusOK && !a.whole {
					s.record.line("judge: the sound stream %s broke off", a.id)
				}
			}()
		}
	}()
	return func() { once.Do(func() { close(ended) }) }
}

// sendPoison sends two requests with the part at the same time, each to another node.
func (s *site) sendPoison(round int) {
	var sent sync.WaitGroup
	for i := range 2 {
		sent.Go(func() {
			parts := fmt.Sprintf("%s:50,%s:40,%08x:30", firstPart, poisonPart, 2*round+i)
			s.stream(s.nodes[(round+i)%len(s.nodes)], "/stream/x", baseModel, parts, 4*time.Second)
		})
	}
	sent.Wait()
}

// killAll kills the processes of all nodes at once and starts them again.
func (s *site) killAll() {
	var killed sync.WaitGroup
	for _, n := range s.nodes {
		killed.Go(func() { s.kill(n) })
	}
	killed.Wait()
	s.sleep(500 * time.Millisecond)
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			s.record.line("%s: %v", n.name, err)
		}
	}
}

// judgePoison counts the requests with the part that reached servers late, sent by nodes in touch.
func (s *site) judgePoison() verdict {
	var crashes, reached []time.Time
	for _, each := range s.servers {
		each.mu.Lock()
		crashes = append(crashes, each.crashes...)
		reached = append(reached, each.poisoned...)
		each.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(reached, time.Time.Compare)
	if len(crashes) < 5 {
		return verdict{false, fmt.Sprintf("BUDGET: only %d servers crashed", len(crashes))}
	}
	late, excused := 0, 0
	for _, at := range reached {
		switch {
		case at.Sub(crashes[4]) <= stableWindow:
		case s.justStarted(at):
			excused++
		default:
			late++
			s.record.line("judge: a request with the part reached a server at %.3f, %.1f s after the fifth crash",
				s.record.at(at), at.Sub(crashes[4]).Seconds())
		}
	}
	return verdict{late > allowedLate, fmt.Sprintf(
		"BUDGET: %d crashes; later than %v after the fifth, %d requests with the part reached servers by nodes in touch, %d by others, %d are allowed",
		len(crashes), stableWindow, late, excused, allowedLate)}
}

// justStarted reports whether some node had started within the last stableWindow.
func (s *site) justStarted(at time.Time) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool {
		return at.After(n.startedAt) && at.Sub(n.startedAt) <= stableWindow
	})
}

// memoryEngine is an engine whose memory, not its places, bounds the adapters: four fit beside the weights.
func memoryEngine() object {
	model := with(wire.Engine["models"].([]any)[0].(object), object{"adapterMb": 300.0})
	return with(wire.Engine, object{"models": []any{model}})
}

// playMemory checks that servers aren't ordered to load more than they hold.
//
// Rare adapters are asked for at once.
func playMemory(s *site) (verdict, error) {
	if err := s.startModelSite(2, 2, memoryEngine(), nil); err != nil {
		return verdict{}, err
	}
	s.sleep(4 * time.Second)
	stop := s.demand(3, 100*time.Millisecond)
	s.sleep(8 * time.Second)
	stop()
	if s.trouble {
		stop = s.demand(40, 50*time.Millisecond)
	} else {
		stop = s.demand(3, 50*time.Millisecond)
	}
	s.sleep(8 * time.Second)
	stop()
	overloads, orders := 0, 0
	for _, each := range s.servers {
		each.mu.Lock()
		overloads += each.overloads
		orders += len(each.orders)
		each.mu.Unlock()
	}
	return verdict{overloads > 0, fmt.Sprintf(
		"LIMIT: of %d orders, %d were to load more than the server's memory for weights and adapters or its places hold", orders, overloads)}, nil
}

// playSilence checks that requests on kept channels get the whole answers of sound servers.
//
// Servers fall silent in the middle of an answer and go on.
func playSilence(s *site) (verdict, error) {
	s.configure(configuration(1, []any{
		route("short", "safe", "desk", wire.ShortRoute), route("long", "safe", "desk", wire.ShortRoute),
	}, []any{plainService("desk")}))
	for i := range 4 {
		added := &server{id: fmt.Sprintf("d%d", i), service: "desk"}
		added.answer = func(w http.ResponseWriter, r *http.Request) { s.answerWithSilence(added, w, r) }
		if err := s.addServers(added); err != nil {
			return verdict{}, err
		}
	}
	if err := s.addNodes(2); err != nil {
		return verdict{}, err
	}
	s.sleep(4 * time.Second)
	const rounds = 10
	lost, kept := 0, 0
	for i := range rounds {
		channel := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		n := s.nodes[i%len(s.nodes)]
		s.callOver(channel, n, http.MethodGet, "/short/x", "", 2500*time.Millisecond, nil)
		a := s.callOver(channel, n, http.MethodGet, "/long/x", "", 2500*time.Millisecond, nil)
		channel.CloseIdleConnections()
		if a.kept {
			kept++
		}
		if a.kept && !a.whole {
			lost++
		}
		s.sleep(300 * time.Millisecond)
	}
	return verdict{lost > 3, fmt.Sprintf(
		"LOST: of %d requests on kept channels, %d ended with the channel, in the middle of a sound server's answer", kept, lost)}, nil
}

const (
	// halfAnswer is half of a long answer, in bytes.
	halfAnswer = 300 << 10
	// silence is how long a server is silent in the middle of a long answer.
	silence = 800 * time.Millisecond
)

// answerWithSilence answers a request. In the middle of a long answer the server is silent for a while.
func (s *site) answerWithSilence(by *server, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/short/x" {
		_, _ = fmt.Fprint(w, "short")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(2*halfAnswer))
	half := make([]byte, halfAnswer)
	_, _ = w.Write(half)
	_ = http.NewResponseController(w).Flush()
	if s.trouble {
		time.Sleep(silence)
	}
	_, err := w.Write(half)
	s.record.line("%s: has written the whole answer to %s: %v", by.id, r.Header.Get(wire.Headers.Request), err == nil && r.Context().Err() == nil)
}

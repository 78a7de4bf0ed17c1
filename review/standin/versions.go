package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeTime is how long a server is away that starts again with other software.
	upgradeTime = 2 * time.Second
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// mixedAllowed is how many streams may hold events of two software versions.
	mixedAllowed = 2
)

// playVersions checks that no stream holds events of servers of two software versions.
//
// The servers get new software one after the other and start again under the IDs that they had. Meanwhile the store is down.
func playVersions(s *site) (verdict, error) {
	err := s.startModelSite(2, 2, wire.Engine, func(added *server) {
		added.version = "v1"
		added.answer = func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get(wire.Headers.LastEvent))
			added.mu.Lock()
			version := added.version
			added.mu.Unlock()
			writeVersioned(w, version, last+1, 40)
		}
	})
	if err != nil {
		return verdict{}, err
	}
	s.sleep(6 * time.Second)
	begun := time.Now()
	until := func(after time.Duration) { s.sleep(time.Until(begun.Add(after))) }
	if s.trouble {
		s.store.setAway(true)
	}
	until(100 * time.Millisecond)
	s.servers[0].restart(upgradeTime, "v2")
	until(3200 * time.Millisecond)
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			a := s.stream(s.nodes[i%len(s.nodes)], "/resume/x", baseModel, fmt.Sprintf("%08x:50,%08x:70", i, 1000+i), 12*time.Second)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	until(3900 * time.Millisecond)
	s.servers[1].restart(upgradeTime, "v2")
	until(outage)
	if s.trouble {
		s.store.setAway(false)
	}
	clients.Wait()
	mixed := 0
	for _, a := range answers {
		if strings.Contains(a.body, "by v1") && strings.Contains(a.body, "by v2") {
			mixed++
			s.record.line("judge: the answer to %s holds events of both versions: %q", a.id, a.body)
		}
	}
	return verdict{mixed > mixedAllowed, fmt.Sprintf(
		"ORDER: of %d streams, %d hold events of servers of two software versions in one answer, %d are allowed", len(answers), mixed,
		mixedAllowed)}, nil
}

// writeVersioned writes the events from first to last of a stream, which name the version of the server's software.
func writeVersioned(w http.ResponseWriter, version string, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= last; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d by %s\n\n", n, n, version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

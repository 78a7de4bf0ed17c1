package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamPath   = "/lohu930/2f"
	streamBudget = 15 * time.Second
	// maximumTries bounds the attempts of one client.
	maximumTries = 5
	// mixedAllowed is the number of streams with events of two versions that the rule allows.
	mixedAllowed = 2
)

// follow plays a client until its stream is complete, its time is over or it has tried often enough. nodes are taken in turn.
func follow(ctx context.Context, c *streamCall, nodes []*node, first int) {
	for try := 0; try < maximumTries && !c.complete && time.Until(c.deadline) > 100*time.Millisecond; try++ {
		a := c.attempt(ctx, nodes[(first+try)%len(nodes)], streamPath)
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(min(a.retryAfter, time.Until(c.deadline)/3))
		}
	}
}

// startClients starts clients whose streams go on in the background. The returned function waits for their ends.
func (s *site) startClients(count, adapters int) (calls []*streamCall, wait func()) {
	var group sync.WaitGroup
	for number := range count {
		c := &streamCall{rec: s.rec, adapter: adapterName(number, adapters), deadline: time.Now().Add(streamBudget)}
		calls = append(calls, c)
		group.Go(func() { follow(context.Background(), c, s.nodes, number) })
		time.Sleep(30 * time.Millisecond)
	}
	return calls, group.Wait
}

// warmUp sends streams that are cut off after their first events, until all adapters are served.
func (s *site) warmUp(adapters int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		var served atomic.Int64
		var group sync.WaitGroup
		for number := range adapters {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				c := &streamCall{rec: s.rec, adapter: adapterName(number, adapters), deadline: time.Now().Add(streamBudget)}
				if c.attempt(ctx, s.nodes[number%len(s.nodes)], streamPath).status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		group.Wait()
		if int(served.Load()) == adapters {
			return nil
		}
	}
	return fmt.Errorf("the adapters are not served")
}

// countMixed returns the number of streams with events of two software versions.
func (s *site) countMixed(calls []*streamCall) int {
	mixed := 0
	for _, c := range calls {
		if c.mixed() {
			mixed++
		}
		s.rec.add("stream of %s: events up to %d, complete %v, software versions %v", c.begunBy, c.last, c.complete, c.versions)
	}
	s.rec.add("%d streams hold events of two software versions, %d are allowed", mixed, mixedAllowed)
	return mixed
}

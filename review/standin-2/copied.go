package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	plays["copied"] = playCopied
	plays["forgotten"] = playForgotten
	plays["proof"] = playProof
}

// playCopied has the store return from a copy that is older than the latest start of a server, which began with another version of its
// software under its ID. Streams of the other server break off before the servers have written their entries again.
func playCopied(s *site, trouble bool) (isBroken bool, err error) {
	const clients, adapters, events = 24, 12, 80
	s.declare()
	for range 2 {
		if _, err := s.addEngine("v1", 100*time.Millisecond, events); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(2); err != nil {
		return false, err
	}
	if err := s.warmUp(adapters); err != nil {
		return false, err
	}
	copied := s.store.copyAll()
	s.engines[0].crash()
	time.Sleep(time.Second)
	if err := s.engines[0].start("v2", false); err != nil {
		return false, err
	}
	if err := s.warmUp(adapters); err != nil {
		return false, err
	}
	calls, wait := s.startClients(clients, adapters)
	time.Sleep(time.Second)
	if trouble {
		s.store.setDown(true)
		time.Sleep(500 * time.Millisecond)
		s.delayBeats(1800 * time.Millisecond)
		s.store.returnFrom(copied)
	}
	time.Sleep(300 * time.Millisecond)
	s.engines[1].crash()
	wait()
	return s.countMixed(calls) > mixedAllowed, nil
}

// delayBeats makes the servers write their entries again only after a time.
func (s *site) delayBeats(wait time.Duration) {
	for _, e := range s.engines {
		e.mu.Lock()
		e.beatAfter = time.Now().Add(wait)
		e.mu.Unlock()
	}
}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// killAll kills all nodes at once and starts them again.
func (s *site) killAll() error {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.kill)
	}
	group.Wait()
	time.Sleep(restartDelay)
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// begin begins streams, and returns those that have begun after some time, while they go on. stop ends them.
func (s *site) begin(count, adapters int) (calls []*streamCall, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for number := range count {
		c := &streamCall{rec: s.rec, adapter: adapterName(number, adapters), deadline: time.Now().Add(streamBudget)}
		calls = append(calls, c)
		group.Go(func() { c.attempt(ctx, s.nodes[number%len(s.nodes)], streamPath) })
		time.Sleep(30 * time.Millisecond)
	}
	return calls, func() {
		cancel()
		group.Wait()
	}
}

// playForgotten has the store return from a copy that is older than streams in progress. All nodes are killed afterwards, and the clients
// take their streams up once the nodes are in touch.
func playForgotten(s *site, trouble bool) (isBroken bool, err error) {
	const clients, adapters, events = 24, 8, 140
	s.declare()
	for _, version := range []string{"v1", "v2", "v1", "v2"} {
		if _, err := s.addEngine(version, 100*time.Millisecond, events); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(2); err != nil {
		return false, err
	}
	if err := s.warmUp(adapters); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	copied := s.store.copyAll()
	calls, stop := s.begin(clients, adapters)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		s.store.setDown(true)
		time.Sleep(500 * time.Millisecond)
		s.store.returnFrom(copied)
	}
	time.Sleep(2500 * time.Millisecond)
	if err := s.killAll(); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	stop()
	return s.countTakenUp(calls, adapters)
}

// countTakenUp takes all streams up, each beside a new stream, and compares the shares that go on and that begin.
func (s *site) countTakenUp(calls []*streamCall, adapters int) (isBroken bool, err error) {
	var takenUp, goneOn, tried, begun atomic.Int64
	var group sync.WaitGroup
	for number, c := range calls {
		if c.last == 0 || c.complete || time.Until(c.deadline) < time.Second {
			s.rec.add("stream of %q is not taken up: %d events, %v left", c.begunBy, c.last, time.Until(c.deadline))
			continue
		}
		fresh := &streamCall{rec: s.rec, adapter: adapterName(number, adapters), deadline: time.Now().Add(4 * time.Second)}
		group.Go(func() {
			takenUp.Add(1)
			if a := c.attempt(context.Background(), s.nodes[number%len(s.nodes)], streamPath); a.status == http.StatusOK && a.events > 0 {
				goneOn.Add(1)
			}
		})
		group.Go(func() {
			tried.Add(1)
			if fresh.attempt(context.Background(), s.nodes[number%len(s.nodes)], streamPath); fresh.last > 0 {
				begun.Add(1)
			}
		})
	}
	group.Wait()
	s.rec.add("%d of %d streams that were taken up went on; %d of %d new streams began", goneOn.Load(), takenUp.Load(), begun.Load(), tried.Load())
	if takenUp.Load() < 12 || begun.Load() == 0 {
		return false, errTooFew
	}
	shareOn := float64(goneOn.Load()) / float64(takenUp.Load())
	shareBegun := float64(begun.Load()) / float64(tried.Load())
	return shareOn < shareBegun/2, nil
}

// playProof has the store return from a copy that is older than the first server of a new version, while all nodes are started again.
func playProof(s *site, trouble bool) (isBroken bool, err error) {
	const clients, adapters, events = 24, 2, 140
	s.declare()
	if _, err := s.addEngine("v1", 100*time.Millisecond, events); err != nil {
		return false, err
	}
	if err := s.startNodes(2); err != nil {
		return false, err
	}
	if err := s.warmUp(adapters); err != nil {
		return false, err
	}
	copied := s.store.copyAll()
	if _, err := s.addEngine("v2", 100*time.Millisecond, events); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	// The adapters are loaded now, some of them at the new server.
	calls, stop := s.begin(clients, clients)
	time.Sleep(time.Second)
	if trouble {
		s.store.setDown(true)
		time.Sleep(500 * time.Millisecond)
		s.delayBeats(1900 * time.Millisecond)
		s.store.returnFrom(copied)
	}
	if err := s.killAll(); err != nil {
		return false, err
	}
	stop()
	var group sync.WaitGroup
	for number, c := range calls {
		if c.last > 0 && !c.complete {
			group.Go(func() { follow(context.Background(), c, s.nodes, number) })
		}
	}
	group.Wait()
	return s.countMixed(calls) > mixedAllowed, nil
}

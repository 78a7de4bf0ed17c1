package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { plays["memory"] = playMemory }

// smallWeights holds the model and eight adapters.
const smallWeights = baseWeights + 8*adapterWeights

// playMemory asks for more adapters than the memory of the servers holds, though their places would hold them.
func playMemory(s *site, trouble bool) (isBroken bool, err error) {
	s.declareWith(smallWeights)
	for range 2 {
		e, err := s.addEngine("v1", 50*time.Millisecond, 10)
		if err != nil {
			return false, err
		}
		e.weights = smallWeights
	}
	if err := s.startNodes(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	rare := 4
	if trouble {
		rare = 40
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var group sync.WaitGroup
		for number := range rare {
			group.Go(func() {
				c := &streamCall{rec: s.rec, adapter: fmt.Sprintf("a%d", 1+number), deadline: time.Now().Add(5 * time.Second)}
				follow(context.Background(), c, s.nodes, number)
			})
		}
		group.Wait()
	}
	overloads := 0
	for _, e := range s.engines {
		e.mu.Lock()
		overloads += e.overloads
		e.mu.Unlock()
	}
	s.rec.add("servers were ordered %d times to load more than their memory holds", overloads)
	return overloads > 0, nil
}

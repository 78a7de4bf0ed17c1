package main

import (
	"fmt"
	"os"
	"time"
)

// site is a small deployment on loopback addresses.
type site struct {
	rec       *record
	directory string
	store     *store
	engines   []*engine
	nodes     []*node
	// quota bounds the processor time of the nodes.
	quota bool
}

func newSite(path string) (*site, error) {
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, directory: directory}
	if s.store, err = startStore(rec); err != nil {
		return nil, err
	}
	return s, nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, e := range s.engines {
		e.crash()
	}
	_ = s.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	} else {
		fmt.Println("logs:", s.directory)
	}
	s.rec.close()
}

// declare writes the configuration.
func (s *site) declare() { s.declareWith(0) }

// declareWith writes the configuration with the servers' memory for weights and adapters in MB, 0 for what the file says.
func (s *site) declareWith(weights int) {
	config := decodeObject(configFile)
	if weights > 0 {
		service := config["services"].([]any)[0].(object)
		service["engine"].(object)["weightsMb"] = weights
	}
	s.store.put(names["operatorTopic"], names["configKey"], config)
}

// addEngine adds a model server, which holds its base model, and starts it.
func (s *site) addEngine(version string, eventPeriod time.Duration, lastEvent int) (*engine, error) {
	number := len(s.engines) + 1
	e := &engine{
		id: fmt.Sprintf("i-7f3a91c%d", number), address: freeAddress(fmt.Sprintf("127.0.2.%d", number)), service: "llm",
		zone: "mapo-a", store: s.store, rec: s.rec, eventPeriod: eventPeriod, lastEvent: lastEvent,
	}
	s.engines = append(s.engines, e)
	return e, e.start(version, true)
}

// startNodes starts nodes and waits until they are ready.
func (s *site) startNodes(count int) error {
	for number := 1; number <= count; number++ {
		n, err := newNode(s.rec, s.directory, fmt.Sprintf("edge-%d", number), fmt.Sprintf("127.0.1.%d", number), "mapo-a", s.store.address)
		if err != nil {
			return err
		}
		n.quota = s.quota
		if err := n.start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"maps"
	"slices"
	"time"
)

// member is a member of a group.
type member struct {
	ttl      time.Duration
	joinedAt time.Time
}

// group shares the partitions of one topic out among its members. The caller guards it.
type group struct {
	generation int64
	members    map[string]member
	// targets holds the member that is to have each partition, holders the one that has it.
	targets, holders [partitions]string
}

func newGroup() *group { return &group{members: map[string]member{}} }

func (g *group) clone() *group {
	copied := *g
	copied.members = maps.Clone(g.members)
	return &copied
}

// resume makes the times of the members go on: they stood still while the store was away.
func (g *group) resume(now time.Time) {
	for name, m := range g.members {
		m.joinedAt = now
		g.members[name] = m
	}
}

// join joins a member, which has received a generation, and returns the partitions that it holds.
func (g *group) join(now time.Time, name string, received int64, ttl time.Duration) (held []int) {
	g.expire(now)
	if _, known := g.members[name]; !known {
		g.members[name] = member{}
		g.deal()
	}
	g.members[name] = member{ttl: ttl, joinedAt: now}
	for p := range g.holders {
		if g.holders[p] == name && g.targets[p] != name && received >= g.generation {
			g.holders[p] = ""
		}
		if g.holders[p] == "" && g.targets[p] == name {
			g.holders[p] = name
		}
		if g.holders[p] == name && g.targets[p] == name {
			held = append(held, p)
		}
	}
	return held
}

func (g *group) leave(name string) {
	if _, known := g.members[name]; known {
		g.drop(name)
	}
}

// expire drops the members that have sent nothing for longer than their time.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if m.ttl > 0 && now.Sub(m.joinedAt) > m.ttl {
			g.drop(name)
		}
	}
}

func (g *group) drop(name string) {
	delete(g.members, name)
	for p := range g.holders {
		if g.holders[p] == name {
			g.holders[p] = ""
		}
	}
	g.deal()
}

// deal begins a generation with an even distribution that moves as few partitions as possible.
func (g *group) deal() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		g.targets = [partitions]string{}
		return
	}
	most := (partitions + len(names) - 1) / len(names)
	counts := map[string]int{}
	for p, name := range g.targets {
		if _, known := g.members[name]; !known || counts[name] >= most {
			g.targets[p] = ""
			continue
		}
		counts[name]++
	}
	for p, name := range g.targets {
		if name != "" {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		g.targets[p] = least
		counts[least]++
	}
	for {
		least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		greatest := slices.MaxFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		if counts[greatest]-counts[least] <= 1 {
			return
		}
		g.targets[slices.Index(g.targets[:], greatest)] = least
		counts[greatest]--
		counts[least]++
	}
}

// rebalance gives each partition to the next member at once.
func (g *group) rebalance() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for p, name := range g.targets {
		g.targets[p] = names[(slices.Index(names, name)+1)%len(names)]
	}
	g.holders = g.targets
}

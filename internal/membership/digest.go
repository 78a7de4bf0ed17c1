package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// repairInterval bounds how often a node compares tables because digests differ.
const repairInterval = 2 * time.Second

// digest returns a hash of the running nodes' own entries, which is the same at all nodes once gossip has reached them.
// It's 0 while this node has updates left to gossip, since tables are expected to differ then.
func (c *core) digest() uint64 {
	if len(c.gossip.pending) > 0 {
		return 0
	}
	if c.digestVersion != c.version {
		c.digestValue = tableDigest(c.members)
		c.digestVersion = c.version
	}
	return c.digestValue
}

// tableDigest returns a digest that depends neither on the order of the nodes nor on suspicions, which differ between
// nodes.
func tableDigest(members map[string]*member) uint64 {
	sum := uint64(1)
	for _, m := range members {
		if isRunning(m.entry) {
			sum += entryDigest(m.entry)
		}
	}
	return max(sum, 1)
}

func entryDigest(e *peerpb.NodeEntry) uint64 {
	var fixed [24]byte
	binary.LittleEndian.PutUint64(fixed[0:], e.Incarnation)
	binary.LittleEndian.PutUint64(fixed[8:], e.AppliedConfig)
	binary.LittleEndian.PutUint64(fixed[16:], e.Revision)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(e.Name)
	_, _ = digest.Write(fixed[:])
	return digest.Sum64()
}

// repair pulls the table of a peer whose digest differs although neither has updates left to gossip. Gossip of a change
// stops after a bounded number of messages, and a node that received none of them would get the change only with the
// next full exchange, later than a configuration has to be in force.
func (c *core) repair(now time.Time, address string, peerDigest uint64) {
	own := c.digest()
	if own == 0 || peerDigest == 0 || own == peerDigest || now.Before(c.nextRepair) {
		return
	}
	c.nextRepair = now.Add(repairInterval)
	c.pullTable(now, address)
}

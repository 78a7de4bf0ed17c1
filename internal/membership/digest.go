package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// repairInterval bounds how often a node compares tables because digests differ.
const repairInterval = 2 * time.Second

// digest returns a hash of what the running nodes say of themselves, which is the same at all nodes once gossip has
// reached them. It's 0 while this node has gossip left to pass on, since tables differ as a matter of course then.
func (c *core) digest() uint64 {
	if len(c.gossip.spreads) > 0 {
		return 0
	}
	if c.digestVersion != c.version {
		c.digestValue = tableDigest(c.members)
		c.digestVersion = c.version
	}
	return c.digestValue
}

// tableDigest doesn't depend on the order of the nodes, nor on suspicions, which are a node's own view.
func tableDigest(members map[string]*member) uint64 {
	sum := uint64(1)
	for _, m := range members {
		if present(m.entry) {
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

// repair compares tables with a peer whose digest differs although neither has gossip left. Gossip stops after a
// bounded number of messages, and a node that all of them missed would learn of the change only at the next full
// exchange, later than a configuration is to be in force.
func (c *core) repair(now time.Time, address string, theirs uint64) {
	own := c.digest()
	if own == 0 || theirs == 0 || own == theirs || now.Before(c.nextRepair) {
		return
	}
	c.nextRepair = now.Add(repairInterval)
	c.pull(now, address)
}

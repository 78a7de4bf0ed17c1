package keyproof_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/keyproof"
)

const lifetime = 4500 * time.Millisecond

var readers = []string{"r1", "r2", "r3"}

func position(offset, version int64) keyproof.Position {
	return keyproof.Position{Offset: offset, Version: version}
}

// challenged returns a core that has read up to a position without a proof, and has sent a challenge with nonce 7 at 10 s.
func challenged(g *gomega.WithT, p keyproof.Position) *keyproof.Core {
	c := keyproof.New(lifetime)
	c.Applied(p)
	reader, due := c.Challenge(10*time.Second, 7, readers, true)
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(reader).To(gomega.Equal("r1"))
	return c
}

// Guards against a proof that is renewed by the time at which an answer arrives, for example after a suspension.
func TestAnswerCountsWithTheTimeOfTheChallenge(t *testing.T) {
	g := gomega.NewWithT(t)
	c := challenged(g, position(5, 2))
	g.Expect(c.AcceptsKeys(10 * time.Second)).To(gomega.BeFalse())
	c.Answered(30*time.Second, 7, 500*time.Millisecond, position(5, 2))
	age, ok := c.Age(30 * time.Second)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(age).To(gomega.Equal(20500 * time.Millisecond))
	g.Expect(c.AcceptsKeys(30 * time.Second)).To(gomega.BeFalse())
	g.Expect(c.AcceptsKeys(14 * time.Second)).To(gomega.BeTrue())
	g.Expect(c.AcceptsKeys(14*time.Second + time.Nanosecond)).To(gomega.BeFalse())
}

// Guards against a proof by an answer to a challenge of an earlier process or of another node.
func TestAnswerToAnotherChallengeIsNoProof(t *testing.T) {
	g := gomega.NewWithT(t)
	c := challenged(g, position(5, 2))
	c.Answered(10*time.Second, 8, 0, position(5, 2))
	_, ok := c.Age(10 * time.Second)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against a proof that counts before the records are applied that it needs, and against one that then counts with a
// later time. The log may have been replaced by one with lower offsets.
func TestAnswerWaitsForTheRecords(t *testing.T) {
	for _, needed := range []keyproof.Position{position(6, 2), position(5, 3), position(2, 3)} {
		g := gomega.NewWithT(t)
		c := challenged(g, position(5, 2))
		c.Answered(10*time.Second, 7, time.Second, needed)
		g.Expect(c.AcceptsKeys(10 * time.Second)).To(gomega.BeFalse())
		c.Applied(position(5, 2))
		g.Expect(c.AcceptsKeys(10 * time.Second)).To(gomega.BeFalse())
		c.Applied(needed)
		age, ok := c.Age(12 * time.Second)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(age).To(gomega.Equal(3 * time.Second))
	}
}

// Guards against an own read that counts from its answer, and against one that sets back a newer proof.
func TestReadCountsFromItsCall(t *testing.T) {
	g := gomega.NewWithT(t)
	c := keyproof.New(lifetime)
	c.Read(4*time.Second, position(5, 2))
	c.Read(3*time.Second, position(5, 2))
	age, got, ok := c.Answer(6 * time.Second)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(age).To(gomega.Equal(2 * time.Second))
	g.Expect(got).To(gomega.Equal(position(5, 2)))
}

// Guards against more or fewer challenges than planned: one a second to the readers in turn, each 0.5 s while they don't
// answer, none by a node that reads the store itself.
func TestChallengesTakeReadersInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	c := keyproof.New(lifetime)
	send := func(from, to time.Duration, answers, follows bool) (sent []string) {
		for now := from; now < to; now += 100 * time.Millisecond {
			if !follows {
				c.Read(now, position(1, 1))
			}
			if reader, due := c.Challenge(now, uint64(now), readers, follows); due {
				sent = append(sent, reader)
				if answers {
					c.Answered(now, uint64(now), 0, position(0, 0))
				}
			}
		}
		return sent
	}
	g.Expect(send(0, 4*time.Second, true, true)).To(gomega.Equal([]string{"r1", "r2", "r3", "r1"}))
	g.Expect(send(4*time.Second, 6*time.Second, false, true)).To(gomega.HaveLen(4))
	g.Expect(send(6*time.Second, 20*time.Second, true, false)).To(gomega.BeEmpty())
	c.Refresh()
	g.Expect(send(20*time.Second, 21*time.Second, true, false)).To(gomega.HaveLen(1))
}

// Guards against a node that waits for readers for ever, and against one that reads the store although readers answer.
func TestNodeReadsItselfWhenNoReaderAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := challenged(g, position(5, 2))
	g.Expect(c.ReadDue(11900 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(c.ReadDue(12 * time.Second)).To(gomega.BeTrue())
	// A reader whose own proof is old answers, so that followers don't all read a store that is down.
	c.Answered(12*time.Second, 7, time.Hour, position(5, 2))
	g.Expect(c.ReadDue(13900 * time.Millisecond)).To(gomega.BeFalse())
	c.Answered(13900*time.Millisecond, 7, time.Hour, position(6, 2))
	g.Expect(c.ReadDue(14 * time.Second)).To(gomega.BeTrue())
	c.Read(14*time.Second, position(6, 2))
	g.Expect(c.ReadDue(15 * time.Second)).To(gomega.BeFalse())
}

// Guards against proofs that never count after the store has returned from a copy, as offsets are lower, and against a read of the
// earlier era that sets the position back.
func TestPositionsOfDifferentErasAreOrderedByEra(t *testing.T) {
	g := gomega.NewWithT(t)
	after := func(offset, version int64) keyproof.Position {
		return keyproof.Position{Era: 2, Offset: offset, Version: version}
	}
	c := challenged(g, position(900, 2))
	c.Answered(10*time.Second, 7, time.Second, after(5, 2))
	g.Expect(c.AcceptsKeys(10*time.Second)).To(gomega.BeFalse(), "the records of the new era aren't applied")
	c.Applied(after(5, 2))
	g.Expect(c.AcceptsKeys(10 * time.Second)).To(gomega.BeTrue())
	c.Read(11*time.Second, position(901, 2))
	_, needed, _ := c.Answer(11 * time.Second)
	g.Expect(needed).To(gomega.Equal(after(5, 2)), "a read of the earlier era proves nothing")
	c = challenged(g, after(5, 2))
	c.Answered(10*time.Second, 7, time.Second, position(900, 2))
	g.Expect(c.AcceptsKeys(10*time.Second)).To(gomega.BeTrue(), "what was the newest in the earlier era is applied")
}

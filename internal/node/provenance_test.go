package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// Guards against a log that doesn't show from whom a node knows a configuration or that a server leaves, and up to which position
// that node had read.
func TestLogShowsWhereRecordsWereRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	n := newCrashesNode(t)
	n.events = event.NewLog(&log, logrus.DebugLevel, nil)
	n.eras.Answered(2)
	n.applyOperator(provenance{source: sourceStore, position: serving.Position{Era: 2, Offset: 7}}, serving.OperatorBatch{Configurations: []*serving.Configuration{{Version: 3}}})
	g.Expect(log.String()).To(gomega.And(
		gomega.ContainSubstring(`"event":810`), gomega.ContainSubstring(`"era":2`), gomega.ContainSubstring(`"offset":7`),
		gomega.ContainSubstring(`"source":"store"`),
	))
	log.Reset()
	n.applyStoreServers(serving.ServerBatch{
		Complete: true, Present: []serving.Server{{ID: "s"}}, Next: serving.Cursor{Known: true, Era: 2, Offset: 8},
	})
	log.Reset()
	n.applyDigest(time.Now(), peerlink.Message{
		From: "10.0.0.1:7000", StoreEra: 2, Digest: &storewatch.Digest{Era: 2, ServersNext: 9}, Removed: []string{"s"},
	})
	g.Expect(log.String()).To(gomega.And(
		gomega.ContainSubstring(`"event":812`), gomega.ContainSubstring(`"removed":true`), gomega.ContainSubstring(`"offset":9`),
		gomega.ContainSubstring(`"source":"10.0.0.1:7000"`), gomega.ContainSubstring(`"goneInMs":`),
	))
}

package loadqueue_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

func TestLoadqueue(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "loadqueue")
}

// memoryLog is an in-memory log service. It is down if changed is nil.
type memoryLog struct {
	mutex   sync.Mutex
	records []platform.Record
	changed chan struct{}
}

func (l *memoryLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.changed == nil {
		return 0, errors.New("the log is down")
	}
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

func (l *memoryLog) Read(
	ctx context.Context, _ platform.Stream, from platform.Offset, wait time.Duration,
) (platform.Batch, error) {
	for {
		l.mutex.Lock()
		next, changed := platform.Offset(len(l.records)+1), l.changed
		records := l.records[min(from, next)-1:]
		l.mutex.Unlock()
		if changed == nil {
			return platform.Batch{}, errors.New("the log is down")
		}
		if len(records) > 0 || wait == 0 {
			return platform.Batch{Earliest: 1, Next: next, Records: records}, nil
		}
		select {
		case <-changed:
		case <-time.After(wait):
			wait = 0
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

func startQueue(log platform.Log, holder string) *loadqueue.Driver {
	driver := loadqueue.NewDriver(loadqueue.Options{
		Log: log, Holder: holder, Schedulers: func() int { return 1 }, Events: event.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- driver.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
	})
	return driver
}

var _ = ginkgo.Describe("Driver", func() {
	ctx := context.Background()
	request := func(id, adapter string) loadqueue.Request {
		return loadqueue.Request{ID: id, Class: 1, Adapter: adapter, Version: "v1", Server: "s"}
	}

	// Guards against two concurrent loads, a second load of the same adapter version, and a withdrawn request that
	// blocks the queue.
	ginkgo.It("gives one turn at a time and drops the second request for an adapter", func() {
		log := &memoryLog{changed: make(chan struct{})}
		first, second := startQueue(log, "a"), startQueue(log, "b")
		turn, err := first.Acquire(ctx, request("1", "x"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = second.Acquire(ctx, request("2", "x"))
		gomega.Expect(err).To(gomega.MatchError(loadqueue.ErrSuperseded))

		waiting, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			_, err := second.Acquire(waiting, request("3", "y"))
			ended <- err
		}()
		gomega.Eventually(first.Pending).Should(gomega.HaveLen(2))
		gomega.Expect(ended).NotTo(gomega.Receive())
		cancel()
		gomega.Eventually(ended).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
		first.Finish(turn, true)
		gomega.Eventually(first.Pending).Should(gomega.BeEmpty())
		gomega.Expect(first.AppliedOffset()).To(gomega.BeNumerically(">=", 4))
	})

	// Guards against loads that stop while the log is unreachable.
	ginkgo.It("gives local turns while the log is out of reach", func() {
		driver := startQueue(&memoryLog{}, "a")
		var turn loadqueue.Turn
		gomega.Eventually(func() (err error) {
			turn, err = driver.Acquire(ctx, request("1", "x"))
			return err
		}, "20s").Should(gomega.Succeed())
		gomega.Expect(turn.Local).To(gomega.BeTrue())
		gomega.Expect(uint64(turn.Number) >> 63).To(gomega.Equal(uint64(1)))
		driver.Finish(turn, true)
	})
})

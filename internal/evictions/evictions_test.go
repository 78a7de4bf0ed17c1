package evictions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/evictions"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a memory that grows without bound, and against one that drops the latest evictions first.
func TestOldestEvictionsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := evictions.New(3)
	now := time.Unix(1_000_000, 0)
	adapter := func(i int) serving.Adapter { return serving.Adapter{Model: "m", Name: fmt.Sprint(i)} }
	for i := range 5 {
		memory.Add(now.Add(time.Duration(i)*time.Second), adapter(i))
	}
	memory.Add(now.Add(time.Minute), adapter(2))
	memory.Add(now.Add(time.Hour), adapter(5))
	for i, expected := range []bool{false, false, true, false, true, true} {
		_, recorded := memory.At(adapter(i))
		g.Expect(recorded).To(gomega.Equal(expected), "adapter %d", i)
	}
}

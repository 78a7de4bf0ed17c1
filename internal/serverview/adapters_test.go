package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against an adapter that is declared or held and counts as unknown, or is missing in the list of the known ones.
func TestDeclaredAndHeldAdaptersAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	view, now := serverview.New(), time.Now()
	declared, held := serving.Adapter{Model: "m", Name: "declared"}, serving.Adapter{Model: "m", Name: "held"}
	gone := serving.Adapter{Model: "m", Name: "gone"}
	g.Expect(view.KnownAdapters()).To(gomega.BeEmpty())
	view.Declare(now, serving.AdapterVersion{Adapter: declared, Version: 1})
	view.PutEntry(now, serving.Server{ID: "s", Service: "models", Slots: 4})
	view.Publish(now, serverview.Published{
		ServerID: "s", Holder: "h", Sequence: 1, Ready: true, Adapters: map[serving.Adapter]int{held: 1, gone: 1},
	})
	view.Publish(now, serverview.Published{
		ServerID: "s", Holder: "h", Sequence: 2, Ready: true, Adapters: map[serving.Adapter]int{held: 1},
	})
	g.Expect(view.KnownAdapters()).To(gomega.ConsistOf(declared, held, gone))
	for _, adapter := range []serving.Adapter{declared, held, gone} {
		g.Expect(view.KnowsAdapter(adapter)).To(gomega.BeTrue(), adapter.String())
	}
	g.Expect(view.KnowsAdapter(serving.Adapter{Model: "m", Name: "other"})).To(gomega.BeFalse())
}

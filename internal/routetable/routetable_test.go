package routetable_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/routetable"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a request on the wrong route: the host's route with the longest matching prefix applies.
func TestLongestPrefixOfTheHostDecides(t *testing.T) {
	g := gomega.NewWithT(t)
	table := routetable.New(&serving.Configuration{Routes: []serving.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}})
	for path, name := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/x/y/z/": "long"} {
		route, found := table.Match("A.example:80", path)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(route.Name).To(gomega.Equal(name), path)
	}
	for _, path := range []string{"/x", "/", "/X/1", "x/"} {
		_, found := table.Match("a.example", path)
		g.Expect(found).To(gomega.BeFalse(), path)
	}
}

// Guards against a service that gets requests despite its weight of 0, and against one with a weight that gets none.
func TestServicesAreDrawnByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	route := &serving.Route{Services: []serving.WeightedService{
		{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"},
	}}
	random := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range 2000 {
		count[routetable.PickService(route, random)]++
	}
	g.Expect(count["c"]).To(gomega.BeZero())
	g.Expect(count["b"]).To(gomega.BeNumerically("~", 200, 60))
	g.Expect(routetable.PickService(&serving.Route{}, random)).To(gomega.BeEmpty())
}

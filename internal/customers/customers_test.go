package customers_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/customers"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a key that finds a customer which doesn't have it, or any customer if several have it, and against a
// problem that isn't reported.
func TestKeyFindsItsOnlyCustomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := &serving.Configuration{}
		owners := map[string][]string{}
		for n := range rapid.IntRange(0, 5).Draw(t, "customers") {
			customer := serving.Customer{Name: fmt.Sprint("c", n)}
			for _, key := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), rapid.ID).Draw(t, "keys") {
				customer.Keys = append(customer.Keys, serving.DigestKey(key))
				owners[key] = append(owners[key], customer.Name)
			}
			config.Customers = append(config.Customers, customer)
		}
		directory, problems := customers.New(config)
		shared := 0
		for _, key := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			got := directory.ByKey(serving.DigestKey(key))
			if len(owners[key]) == 1 {
				if got == nil || got.Name != owners[key][0] {
					t.Fatalf("key %s of %v finds %v", key, owners[key], got)
				}
				continue
			}
			shared += max(len(owners[key])-1, 0)
			if got != nil {
				t.Fatalf("key %s of %v finds %s", key, owners[key], got.Name)
			}
		}
		if len(problems) != shared {
			t.Fatalf("%d problems for %d shared keys", len(problems), shared)
		}
		if directory.Required() != (len(config.Customers) > 0) {
			t.Fatal("keys have to be required exactly if there are customers")
		}
	})
}

// Guards against a problem that doesn't name both customers of a key.
func TestProblemNamesBothCustomersOfAKey(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := []serving.KeyDigest{serving.DigestKey("k")}
	_, problems := customers.New(&serving.Configuration{Customers: []serving.Customer{{Name: "a", Keys: keys}, {Name: "b", Keys: keys}}})
	g.Expect(problems).To(gomega.HaveLen(1))
	g.Expect([]string{problems[0].Customer, problems[0].Other}).To(gomega.Equal([]string{"a", "b"}))
}

// Guards against a deployment that becomes open to all because none of its customers can be read.
func TestKeysAreRequiredThoughNoCustomerIsUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	directory, _ := customers.New(&serving.Configuration{CustomersDeclared: true})
	g.Expect(directory.Required()).To(gomega.BeTrue())
}

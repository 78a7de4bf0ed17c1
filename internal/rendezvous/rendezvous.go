// Package rendezvous orders nodes or servers by rendezvous hashing: each key has an order of its own, which is the same
// everywhere and of which little changes when an item joins or leaves.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the items in the order of their hashes, the highest first. hashed returns the text to hash, which has to
// name both the key and the item. Items with the same hash keep their order.
func Order[T any](items []T, hashed func(item T) string) []T {
	type ranked struct {
		item T
		hash uint64
	}
	all := make([]ranked, 0, len(items))
	for _, item := range items {
		all = append(all, ranked{item, xxhash.Sum64String(hashed(item))})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	ordered := make([]T, 0, len(items))
	for _, r := range all {
		ordered = append(ordered, r.item)
	}
	return ordered
}

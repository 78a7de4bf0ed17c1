package resource

import (
	"fmt"
	"sort"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// maximumChanges bounds the history for watches. It can hold two full declarations of 3,000 adapters.
const maximumChanges = 8192

// ChangeType is the type of a change of a resource.
type ChangeType string

// Types of changes.
const (
	Added    ChangeType = "ADDED"
	Modified ChangeType = "MODIFIED"
	Deleted  ChangeType = "DELETED"
)

// Change is one accepted change. Object.ResourceVersion is the offset of its record; a deleted object carries its last
// spec.
type Change struct {
	Type   ChangeType
	Object Object
}

// TooOldError reports that the changes after an offset are no longer retained; the watcher must list again.
type TooOldError struct {
	After    platform.Offset
	Earliest platform.Offset
}

// Error implements error.
func (e *TooOldError) Error() string {
	return fmt.Sprintf("changes after %d are no longer kept, the earliest version to watch from is %d; list again",
		e.After, e.Earliest)
}

// history retains the most recent changes of all kinds. Watchers share it and read it at their own pace, so a slow
// watcher needs no buffer of its own.
type history struct {
	changes []Change
	// completeAfter is the lowest offset after which every change is retained.
	completeAfter platform.Offset
}

func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) < 2*maximumChanges {
		return
	}
	h.completeAfter = h.changes[maximumChanges-1].Object.ResourceVersion
	h.changes = append([]Change(nil), h.changes[maximumChanges:]...)
}

func (h *history) since(kind Kind, after platform.Offset) ([]Change, error) {
	if after < h.completeAfter {
		return nil, &TooOldError{After: after, Earliest: h.completeAfter}
	}
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Object.ResourceVersion > after })
	var found []Change
	for _, change := range h.changes[first:] {
		if change.Object.Kind == kind {
			found = append(found, change)
		}
	}
	return found, nil
}

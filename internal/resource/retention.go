package resource

import "github.com/cespare/xxhash/v2"

const (
	// maximumResults bounds the operation IDs that are recognised when repeated. It covers ten days at the design rate
	// of 1,500 changes a day. An older repeat is rejected by its expected version, so it never takes effect twice.
	maximumResults = 16_384
	// maximumRetiredPaths bounds the withdrawn adapter versions whose paths are retained.
	maximumRetiredPaths = 16_384
)

// resultLog is a ring buffer of the results of the most recent operations. The map holds positions instead of results
// to save memory.
type resultLog struct {
	position map[string]int
	results  []Result
	// next is the position of the oldest result once the buffer is full.
	next int
}

func newResultLog() *resultLog { return &resultLog{position: map[string]int{}} }

func (l *resultLog) find(id string) (Result, bool) {
	position, found := l.position[id]
	if !found {
		return Result{}, false
	}
	return l.results[position], true
}

func (l *resultLog) add(result Result) {
	if len(l.results) < maximumResults {
		l.position[result.OperationID] = len(l.results)
		l.results = append(l.results, result)
		return
	}
	delete(l.position, l.results[l.next].OperationID)
	l.position[result.OperationID] = l.next
	l.results[l.next] = result
	l.next = (l.next + 1) % maximumResults
}

// list returns the retained results, oldest first.
func (l *resultLog) list() []Result {
	return append(append(make([]Result, 0, len(l.results)), l.results[l.next:]...), l.results[:l.next]...)
}

// RetiredPath holds the hashes of a withdrawn adapter version and its path. Hashes keep snapshots and memory small.
type RetiredPath struct {
	Version uint64 `json:"version"`
	Path    uint64 `json:"path"`
}

// retiredPaths is a ring buffer of the paths of withdrawn adapter versions. A version that is withdrawn and declared
// again must have the same path, because engines may still hold its weights.
type retiredPaths struct {
	byVersion map[uint64]uint64
	order     []RetiredPath
	// next is the position of the oldest entry once the buffer is full.
	next int
}

func newRetiredPaths() *retiredPaths { return &retiredPaths{byVersion: map[uint64]uint64{}} }

func hashVersion(adapter, version string) uint64 { return xxhash.Sum64String(adapter + "@" + version) }

// allows reports whether the version was not withdrawn before, or has the same path as then.
func (r *retiredPaths) allows(adapter string, version AdapterVersion) bool {
	path, known := r.byVersion[hashVersion(adapter, version.Name)]
	return !known || path == xxhash.Sum64String(version.Path)
}

// retireWithdrawn adds the versions of current that next, which may be nil, no longer declares.
func (r *retiredPaths) retireWithdrawn(current, next item) {
	before, ok := current.(*Adapter)
	if !ok {
		return
	}
	after, _ := next.(*Adapter)
	for _, version := range before.Spec.Versions {
		if after != nil {
			if _, declared := after.Version(version.Name); declared {
				continue
			}
		}
		r.add(RetiredPath{Version: hashVersion(before.Name, version.Name), Path: xxhash.Sum64String(version.Path)})
	}
}

func (r *retiredPaths) add(retired RetiredPath) {
	if _, known := r.byVersion[retired.Version]; known {
		return
	}
	r.byVersion[retired.Version] = retired.Path
	if len(r.order) < maximumRetiredPaths {
		r.order = append(r.order, retired)
		return
	}
	delete(r.byVersion, r.order[r.next].Version)
	r.order[r.next] = retired
	r.next = (r.next + 1) % maximumRetiredPaths
}

// list returns the retained entries, oldest first.
func (r *retiredPaths) list() []RetiredPath {
	return append(append(make([]RetiredPath, 0, len(r.order)), r.order[r.next:]...), r.order[:r.next]...)
}

package serving

import "time"

// LoadTimes holds how long a server takes to load an adapter: from the weight store, and one that it evicted recently. 0
// means that it isn't known.
type LoadTimes struct{ Cold, Warm time.Duration }

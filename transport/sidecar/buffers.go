package sidecar

import "sync"

// readBuffers pools buffers of readSize bytes. Without the pool they would be
// most of what a short request allocates.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

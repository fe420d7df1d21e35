package sidecar

import "sync"

// buffers holds buffers of readSize for reuse: without it they would be most
// of what a short request allocates.
var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// Package observe samples what the processes of a fleet tell of themselves
// during a measurement: runs and busy slots of the backend servers, metrics of
// routers and sidecars, and the processor time of all.
//
// It asks the stand-ins for what was run, so that the product's own metrics
// can be checked against it.
package observe

// Package crowd holds tests of real processes before crowds of callers that do not behave: that send bodies
// without end, nothing at all, or more than was asked for. Its tests are run one at a time, apart from others.
package crowd

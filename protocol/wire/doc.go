// Package wire holds the messages between the processes of goldcrestport.
//
// The Go files are generated from wire.proto with protoc-gen-go and
// protoc-gen-go-drpc and are committed, so that a build needs no generator.
package wire

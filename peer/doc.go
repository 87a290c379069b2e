// Package peer carries the protocol between the processes of rosemarysill over
// gRPC: heartbeats and orders between agents and entries, calls and gang
// members from entries to agents, and confirmations among entries.
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-go-grpc=$(go tool -n protoc-gen-go-grpc) --go_out=peerpb --go_opt=paths=source_relative --go-grpc_out=peerpb --go-grpc_opt=paths=source_relative peer.proto"

// Package wire holds the protocol between the processes of one installation and
// the code generated from it.
package wire

// The generators are pinned as tools in go.mod. protoc 3.21 or later must be on PATH.
//
//go:generate sh -c "cd ../.. && go build -o /tmp/bramleygap-protoc/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc && PATH=/tmp/bramleygap-protoc:$PATH protoc --proto_path=internal/wire --go_out=. --go_opt=module=bramleygap --go-grpc_out=. --go-grpc_opt=module=bramleygap bramleygap.proto"

package cluster

import "bramleygap/internal/wire"

// operatorServer answers operator commands.
type operatorServer struct {
	wire.UnimplementedOperatorServer
	manager *Manager
}

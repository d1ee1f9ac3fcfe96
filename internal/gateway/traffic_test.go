package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/wire"
)

// Guards against bytes of an exchange that are counted twice or not at all, which would point
// operators to the wrong part.
func TestPartsAddUpToMessage(t *testing.T) {
	c := qt.New(t)
	a, b := newControlGateway(controlSize{gateways: 2, targets: 21, streams: 16}, 0), newControlGateway(twoGateways, 1)
	a.addSuspects("", 0, 4)
	request, answer := exchangeMessages(a, b)
	request.Orders = []*wire.OrderView{{Service: "s", Revision: 3}}
	for _, msg := range []*wire.GatewayState{request, answer, {}} {
		parts, total := partSizes(msg), 0
		for i, size := range parts {
			c.Check(size >= 0, qt.IsTrue, qt.Commentf("%s", exchangeParts[i]))
			total += size
		}
		c.Check(total, qt.Equals, proto.Size(msg))
	}
	parts := partSizes(request)
	c.Check(parts[0] > 16, qt.IsTrue, qt.Commentf("loads"))
	c.Check(parts[1] > 4*8, qt.IsTrue, qt.Commentf("suspects"))
	c.Check(parts[2] > 0 && parts[3] > 0 && parts[4] > 0, qt.IsTrue)
}

package rollout

import "encoding/json"

// FencePrefix is the common prefix of the table keys of fencing tokens.
const FencePrefix = "fence/"

// FenceKey returns the table key of the fencing token of a service. All rollouts of the
// service draw from it, because agents compare the tokens of orders per target and not
// per version.
func FenceKey(service string) string { return FencePrefix + service }

// fenceRow is the value of the row of a service's fencing token.
type fenceRow struct {
	// Highest is the token that was drawn last.
	Highest uint64 `json:"highest"`
}

// ParseFence decodes the highest token drawn. An absent row has an empty value and
// means 0.
func ParseFence(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	var row fenceRow
	err := json.Unmarshal(value, &row)
	return row.Highest, err
}

// EncodeFence returns the value of the row of a service's fencing token.
func EncodeFence(highest uint64) []byte {
	value, err := json.Marshal(fenceRow{highest})
	if err != nil {
		panic(err) // a number always encodes
	}
	return value
}

// NextFence returns the fencing token for a new lease of a row. It also exceeds the row's
// own token, which is higher than the service's in tables written before the service's row
// was introduced.
func NextFence(highest uint64, row *Row) uint64 { return max(highest, row.Fence) + 1 }

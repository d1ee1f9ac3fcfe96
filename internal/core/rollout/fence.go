package rollout

import "encoding/json"

// FencePrefix is the common prefix of the table keys of fencing numbers.
const FencePrefix = "fence/"

// FenceKey returns the table key of the fencing number of a service. All rollouts of the
// service draw from it, because agents compare the numbers of orders per target and not
// per version.
func FenceKey(service string) string { return FencePrefix + service }

// fenceRow is the value of a row of fencing numbers.
type fenceRow struct {
	// Highest is the number drawn last.
	Highest uint64 `json:"highest"`
}

// ParseFence decodes the highest number drawn; an absent row has an empty value and
// means 0.
func ParseFence(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	var row fenceRow
	err := json.Unmarshal(value, &row)
	return row.Highest, err
}

// EncodeFence returns the value of a row of fencing numbers.
func EncodeFence(highest uint64) []byte {
	value, err := json.Marshal(fenceRow{highest})
	if err != nil {
		panic(err) // a number always encodes
	}
	return value
}

// NextFence returns the number for a new lease of a row. It also exceeds the row's own
// number, which is higher than the service's in tables written before that row existed.
func NextFence(highest uint64, row *Row) uint64 { return max(highest, row.Fence) + 1 }

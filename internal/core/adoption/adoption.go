// Package adoption decides which revision of the operator configuration a node has in
// force and tracks which nodes acknowledged it.
package adoption

import "bramleygap/internal/opconfig"

// Adopted is one revision of the operator configuration in force on a node.
type Adopted struct {
	// Revision is the table revision of the text; higher revisions replace lower ones.
	Revision uint64
	Text     string
	Config   *opconfig.Config
}

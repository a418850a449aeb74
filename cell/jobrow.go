package cell

import "github.com/daisywall/daisywall/structs"

// jobRow is the value of a job's row.
type jobRow struct {
	Job             structs.Job      `json:"job"`
	Cells           []structs.CellID `json:"cells"` // cells that the tasks were submitted to
	CancelRequested bool             `json:"cancelled,omitempty"`
}

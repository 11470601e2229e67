package cellrecord

import (
	"time"

	"damsonwinch/pkg/crash"
)

// crashColumns is the number of columns of a row of JobRecord.Crashed, which holds the
// crash.History of a task, but for UnsentLosses: the index of the task's row, Losses, CertainLosses, SimilarLosses,
// MinAge and MaxAge in milliseconds, Weight and ExtraStarts.
const crashColumns = 8

// crashRow returns the row of a task's history. index is the index of the task's row.
func crashRow(index int, h crash.History) []int {
	return []int{index, h.Losses, h.CertainLosses, h.SimilarLosses, int(h.MinAge.Milliseconds()), int(h.MaxAge.Milliseconds()), h.Weight, h.ExtraStarts}
}

// decodeCrashRow returns the history that a row holds.
func decodeCrashRow(row []int) crash.History {
	return crash.History{
		Losses: row[1], CertainLosses: row[2], SimilarLosses: row[3], MinAge: time.Duration(row[4]) * time.Millisecond, MaxAge: time.Duration(row[5]) * time.Millisecond,
		Weight: row[6], ExtraStarts: row[7],
	}
}

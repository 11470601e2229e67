package damsonwinch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

func TestParseLifeInvertsString(t *testing.T) {
	for _, life := range []damsonwinch.Life{
		{}, {ID: "w-17"}, {ID: "w-17", StartedUnixMs: 1_764_747_474_000}, {ID: "w@17"}, {ID: "w@17", StartedUnixMs: 5}, {ID: "w@"}, {ID: "@", StartedUnixMs: 1}, {ID: "w-17", StartedUnixMs: -3},
	} {
		assert.Equal(t, damsonwinch.ParseLife(life.String()), life)
	}
	assert.Equal(t, damsonwinch.Life{ID: "w-17"}.String(), "w-17", "without a start time the text is the ID")
}

func TestLivesMayBeSameUnlessIDOrStartTimeDiffers(t *testing.T) {
	first, second, unknown := damsonwinch.Life{ID: "w", StartedUnixMs: 1}, damsonwinch.Life{ID: "w", StartedUnixMs: 2}, damsonwinch.Life{ID: "w"}
	assert.Assert(t, first.MayBeSame(first) && unknown.MayBeSame(unknown))
	assert.Assert(t, !first.MayBeSame(second) && !second.MayBeSame(first))
	assert.Assert(t, first.MayBeSame(unknown) && unknown.MayBeSame(second))
	assert.Assert(t, !first.MayBeSame(damsonwinch.Life{ID: "v", StartedUnixMs: 1}))
}

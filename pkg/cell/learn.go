package cell

import "damsonwinch"

// learn takes what an end tells of its endpoint.
func (c *Cell) learn(_ *run, _ damsonwinch.Ending) {}

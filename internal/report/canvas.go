package report

import (
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plotArea returns the drawing area of a canvas.
func plotArea(canvas *vgsvg.Canvas) draw.Canvas { return draw.New(canvas) }

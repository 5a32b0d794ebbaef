package call

import (
	"testing"

	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

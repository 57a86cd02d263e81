"""Tests of the call controller and its simulator adapter, and of the real program over its protocols."""

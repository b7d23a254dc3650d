fleet {
  requests { rate = 100
}
